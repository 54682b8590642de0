package relay

import "fmt"

// RepathError reports that a replica refused the order to move a request to another path.
type RepathError struct {
	Status int
	// Address is the address of a stage of the new path that is gone, "" if none was named.
	Address string
}

// Error implements error.
func (e *RepathError) Error() string {
	if e.Address == "" {
		return fmt.Sprintf("order to move refused with status %d", e.Status)
	}
	return fmt.Sprintf("order to move refused with status %d: %s is not there", e.Status, e.Address)
}
