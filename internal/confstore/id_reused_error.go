package confstore

import "fmt"

// IDReusedError reports a proposal with the id of a change that says something else.
type IDReusedError struct {
	ID      string
	Version uint64
}

// Error implements error.
func (e *IDReusedError) Error() string {
	return fmt.Sprintf("id %s belongs to another change, version %d", e.ID, e.Version)
}
