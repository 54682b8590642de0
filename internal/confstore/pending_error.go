package confstore

import "fmt"

// PendingError reports a change that may have been written or may be written later: the
// response to its transaction was lost and could not be resolved in time. Store.Lookup
// resolves it later.
type PendingError struct {
	ID string
	// Version is the version that the change has if it is written.
	Version uint64
	Cause   error
}

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("change %s may have been written as version %d: %v", e.ID, e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *PendingError) Unwrap() error { return e.Cause }
