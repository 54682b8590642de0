package membership

// Update is one rumour about a VM.
type Update struct {
	Name        string
	Incarnation Incarnation
	// Version is the newest configuration that the VM is known to have in force.
	Version uint64
	// VersionOnly updates carry nothing but the version, for a VM that the receiver
	// knows: they are the many, one a VM and change, and a third of the size.
	VersionOnly bool
	Address     string
	DataCentre  string
	State       State
	Leaving     bool
}
