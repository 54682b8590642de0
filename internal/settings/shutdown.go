package settings

import "time"

// Shutdown says how a stop goes.
type Shutdown struct {
	// UnreadyWait is how long the VM goes on accepting requests after it has become
	// unready, so that the balancer learns of it.
	UnreadyWait time.Duration
}
