package relay

import (
	"fmt"

	"geraniumcroft/internal/layers"
)

// stallError ends a send whose stream stalled and could not be moved.
type stallError struct {
	// Replica is the replica that stopped.
	Replica layers.Replica
	// Why is the evidence against it.
	Why string
}

// Error implements error.
func (e *stallError) Error() string {
	return fmt.Sprintf("the stream stands still at %s: %s", e.Replica.Address, e.Why)
}
