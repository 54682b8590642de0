package confstore

import "fmt"

// UnknownChangeError reports an id that is not in the history as far as it is kept.
type UnknownChangeError struct {
	ID string
}

// Error implements error.
func (e *UnknownChangeError) Error() string {
	return fmt.Sprintf("no change with id %s in the history that is kept", e.ID)
}
