package confstore

// Acceptance lists the VMs on which a version is in force and those on which it is not.
type Acceptance struct {
	Version uint64 `json:"version"`
	// Accepted is true if the version is in force on every VM that may serve requests.
	Accepted  bool     `json:"accepted"`
	Confirmed []string `json:"confirmed"`
	Missing   []string `json:"missing"`
}
