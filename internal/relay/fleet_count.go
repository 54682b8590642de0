package relay

// FleetCount is what a VM knows of the VMs that share an allowance of the fleet.
type FleetCount struct {
	// VMs is their number, including this one; 0 if it is not known.
	VMs int
	// Counted reports whether this VM and the others count each other.
	Counted bool
}
