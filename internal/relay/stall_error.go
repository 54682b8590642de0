package relay

import "fmt"

// stallError ends a send whose stream stands still and could not be moved.
type stallError struct {
	// Address is the replica that stopped.
	Address string
	// Why is the evidence against it.
	Why string
}

// Error implements error.
func (e *stallError) Error() string {
	return fmt.Sprintf("the stream stands still at %s: %s", e.Address, e.Why)
}
