package config

// Profile says how requests are served. It is all that a calling service has to name.
type Profile struct {
	// Name identifies the profile across all workspaces.
	Name string `json:"name"`
	// Workspace names the owner. The profile's requests count towards the workspace's
	// share and limits.
	Workspace string       `json:"workspace"`
	Class     RequestClass `json:"class"`
	Urgency   Urgency      `json:"urgency"`
	// Idempotent requests may be sent again and hedged; others run at most once.
	Idempotent bool `json:"idempotent"`
	// Models lists the models that serve a generation profile; empty for a call profile.
	Models []ModelRef `json:"models,omitempty"`
	// Service and Path name the plain service of a call profile.
	Service string `json:"service,omitempty"`
	Path    string `json:"path,omitempty"`
	// Deadline is the time allowed from a request's arrival; callers can only shorten it.
	Deadline Duration `json:"deadline"`
	Limits   Limits   `json:"limits"`
	// Revision is the configuration version that last changed the profile.
	Revision uint64 `json:"revision"`
}
