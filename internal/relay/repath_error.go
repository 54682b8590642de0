package relay

import "fmt"

// RepathError reports that a replica did not take the order to move a request.
type RepathError struct {
	Status int
	// Address is that of a stage of the new path which is not there, "" if none was named.
	Address string
}

// Error implements error.
func (e *RepathError) Error() string {
	if e.Address == "" {
		return fmt.Sprintf("order to move refused with status %d", e.Status)
	}
	return fmt.Sprintf("order to move refused with status %d: %s is not there", e.Status, e.Address)
}
