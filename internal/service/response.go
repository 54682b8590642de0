package service

import "net/http"

// Response is a service's complete response.
type Response struct {
	// RequestID is the request id in the response; it must be the call's.
	RequestID string
	Status    int
	Header    http.Header
	Body      []byte
	// NotRun says that the service states that it did not run the call.
	NotRun bool
}
