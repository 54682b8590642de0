package relay

import "fmt"

// wayLostError ends a send over a direct connection that is silent while this VM is cut off from all
// replicas. It says nothing about the replica.
type wayLostError struct{ Address string }

// Error implements error.
func (e *wayLostError) Error() string {
	return fmt.Sprintf("cut off from %s, which is reached through a peer", e.Address)
}
