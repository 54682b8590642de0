package confstore

import "fmt"

// UnknownChangeError reports that the retained history contains no change with the id.
type UnknownChangeError struct {
	ID string
}

// Error implements error.
func (e *UnknownChangeError) Error() string {
	return fmt.Sprintf("no change with id %s in the history that is kept", e.ID)
}
