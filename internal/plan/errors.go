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

// GapError reports layers that no usable target holds.
type GapError struct {
	Model   string
	Version string
	Adapter string
	// Layer is the first layer that is missing.
	Layer int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("no usable target holds layer %d of %s@%s adapter %q", e.Layer, e.Model, e.Version, e.Adapter)
}
