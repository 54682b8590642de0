package membership

// Update is a rumour about a VM.
type Update struct {
	Name        string
	Incarnation Incarnation
	// Version is the newest configuration version that the VM is known to have in force.
	Version uint64
	// VersionOnly updates carry only the version, for a VM that the receiver knows. Most updates
	// are of this kind, one for each VM and configuration change, and they have a third of the
	// size.
	VersionOnly bool
	Address     string
	DataCentre  string
	State       State
	Leaving     bool
}
