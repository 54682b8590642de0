package config

// ModelRef names a model, version and adapter that can serve a generation profile.
type ModelRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Adapter is empty for the base model.
	Adapter string `json:"adapter,omitempty"`
	// Weight is the relative share of the profile's requests that this model serves;
	// 0 counts as 1.
	Weight int `json:"weight,omitempty"`
}
