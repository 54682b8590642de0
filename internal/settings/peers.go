package settings

// Peers is the listener for the system's other VMs.
type Peers struct {
	Address string
	// Seeds are peers to try when the platform's VM list cannot be read.
	Seeds []string
	TLS   TLS
}
