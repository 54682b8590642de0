package dispatch

import "geraniumcroft/internal/service"

type result struct {
	response service.Response
	failure  *attemptError
}
