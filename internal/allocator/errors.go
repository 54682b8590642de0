package allocator

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable means that no allocator answers. The VM chooses by itself.
var ErrUnavailable = errors.New("no allocator answers")

// RefusedError is the answer of an allocator that has no path for a request.
type RefusedError struct {
	// Reason and Detail are those of an outcome.Failure.
	Reason string
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the allocator has no path: %s: %s", e.Reason, e.Detail)
}
