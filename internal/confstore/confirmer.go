package confstore

// Confirmer reports on which VMs a version is in force.
type Confirmer interface {
	// InForce returns the names of the VMs that have confirmed the version, and of the
	// VMs that may serve requests and have not confirmed it.
	InForce(version uint64) (confirmed, missing []string)
}
