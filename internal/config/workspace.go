package config

// Workspace owns profiles; its share of the VMs and its limits bound what they use.
type Workspace struct {
	// Name identifies the workspace.
	Name string `json:"name"`
	// Weight is the workspace's share in fair queueing; 0 counts as 1.
	Weight int `json:"weight,omitempty"`
	// MaxInFlight bounds this workspace's requests in hand on one VM; 0 is unbounded.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// KeyDigests are hex SHA-256 digests of the bearer keys that callers of this
	// workspace's profiles present. Without any, naming the profile is enough.
	KeyDigests []string `json:"keyDigests,omitempty"`
	// Revision is the configuration version that last changed this entry.
	Revision uint64 `json:"revision"`
}
