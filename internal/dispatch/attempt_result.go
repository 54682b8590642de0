package dispatch

import "geraniumcroft/internal/service"

// attemptResult is the response of an attempt, or its failure if that is not nil.
type attemptResult struct {
	response service.Response
	failure  *attemptError
}
