package confstore

// Acceptance says where a version is in force.
type Acceptance struct {
	Version uint64 `json:"version"`
	// Accepted is true once every VM that may serve has the version in force.
	Accepted  bool     `json:"accepted"`
	Confirmed []string `json:"confirmed"`
	Missing   []string `json:"missing"`
}
