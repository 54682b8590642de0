package confstore

import "fmt"

// PendingError reports a change that may have been written, now or later: its
// answer was lost and could not be read back. Store.Lookup tells later.
type PendingError struct {
	ID string
	// Version is the one that the change has if it was written.
	Version uint64
	Cause   error
}

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("change %s may have been written as version %d: %v", e.ID, e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *PendingError) Unwrap() error { return e.Cause }
