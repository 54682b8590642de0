package config

// Profile is all that a service has to name: it says how a request is served.
type Profile struct {
	// Name identifies the profile across all workspaces.
	Name string `json:"name"`
	// Workspace owns the profile and is charged for its requests.
	Workspace string       `json:"workspace"`
	Class     RequestClass `json:"class"`
	Urgency   Urgency      `json:"urgency"`
	// Idempotent requests may be sent again and hedged; others run at most once.
	Idempotent bool `json:"idempotent"`
	// Models lists what serves a generation profile; empty for a call profile.
	Models []ModelRef `json:"models,omitempty"`
	// Service and Path name the plain service of a call profile.
	Service string `json:"service,omitempty"`
	Path    string `json:"path,omitempty"`
	// Deadline bounds a request from its arrival; callers can only shorten it.
	Deadline Duration `json:"deadline"`
	Limits   Limits   `json:"limits"`
	// Revision is the configuration version that last changed this entry.
	Revision uint64 `json:"revision"`
}
