package settings

import "time"

// Shutdown holds the settings of a graceful shutdown.
type Shutdown struct {
	// UnreadyWait is how long the VM still accepts requests after it has become unready,
	// so that the balancer stops sending requests first.
	UnreadyWait time.Duration
}
