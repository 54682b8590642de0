package settings

// Peers holds the settings of the listener for the system's other VMs.
type Peers struct {
	Address string
	// Seeds are the addresses of peers to try if the platform's VM list cannot be read.
	Seeds []string
	TLS   TLS
}
