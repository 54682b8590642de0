package confstore

import "fmt"

// IDReusedError reports a proposal with the id of a different change.
type IDReusedError struct {
	ID string
	// Version is the version of the existing change.
	Version uint64
}

// Error implements error.
func (e *IDReusedError) Error() string {
	return fmt.Sprintf("id %s belongs to another change, version %d", e.ID, e.Version)
}
