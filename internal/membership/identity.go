package membership

// Identity is what a VM reports about itself in each message.
type Identity struct {
	Name        string
	Address     string
	DataCentre  string
	Incarnation Incarnation
	Leaving     bool
	// Version is the version of the configuration that the VM has in force.
	Version uint64
}
