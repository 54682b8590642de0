package relay

import "fmt"

// notRunError reports that a replica declared that it did not run a request.
type notRunError struct {
	Address string
	Status  int
	// Fault is the address of the replica on the path that could not take part, "" if unknown.
	Fault string
}

// Error implements error.
func (e *notRunError) Error() string {
	return fmt.Sprintf("%s did not run the request: status %d, at fault %q", e.Address, e.Status, e.Fault)
}
