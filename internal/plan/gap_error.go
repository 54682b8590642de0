package plan

import "fmt"

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
