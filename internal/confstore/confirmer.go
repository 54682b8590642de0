package confstore

// Confirmer knows which VMs have a version in force.
type Confirmer interface {
	// InForce returns the names of the VMs that have confirmed the version and of
	// those that may serve and have not.
	InForce(version uint64) (confirmed, missing []string)
}
