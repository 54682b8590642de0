package plan

import "fmt"

// CoverError reports a plan that does not cover a model's layers once and in order.
type CoverError struct {
	Stage   int
	Problem string
}

// Error implements error.
func (e *CoverError) Error() string {
	return fmt.Sprintf("stage %d %s", e.Stage, e.Problem)
}
