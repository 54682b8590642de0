package config

// ModelRef is one way to serve a generation profile.
type ModelRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Adapter is empty for the base model.
	Adapter string `json:"adapter,omitempty"`
	// Weight is this way's share of the profile's requests; 0 counts as 1.
	Weight int `json:"weight,omitempty"`
}
