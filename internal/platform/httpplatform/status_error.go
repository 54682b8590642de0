package httpplatform

import "fmt"

// StatusError reports a response with a status that the protocol does not define for the
// request.
type StatusError struct {
	Status  int
	Problem Problem
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d (%s): %s", e.Status, e.Problem.Code, e.Problem.Detail)
}
