package httpplatform

import "fmt"

// StatusError reports an answer that the protocol does not provide for.
type StatusError struct {
	Status  int
	Problem Problem
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d (%s): %s", e.Status, e.Problem.Code, e.Problem.Detail)
}
