package config

// Workspace owns profiles. Its weight and limits apply to all their requests together.
type Workspace struct {
	// Name identifies the workspace.
	Name string `json:"name"`
	// Weight is the workspace's share in fair queueing; 0 counts as 1.
	Weight int `json:"weight,omitempty"`
	// MaxInFlight bounds the workspace's requests in flight on one VM; 0 is unbounded.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// KeyDigests are hex SHA-256 digests of the bearer keys that callers of this
	// workspace's profiles present. Without digests, callers need no key.
	KeyDigests []string `json:"keyDigests,omitempty"`
	// Revision is the configuration version that last changed the workspace.
	Revision uint64 `json:"revision"`
}
