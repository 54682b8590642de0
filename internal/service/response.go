package service

import "net/http"

// Response is a service's whole answer.
type Response struct {
	// RequestID is the id that the service answered for; it must be the call's.
	RequestID string
	Status    int
	Header    http.Header
	Body      []byte
	// NotRun says that the service declares that it did not run the call.
	NotRun bool
}
