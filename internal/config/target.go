package config

// Target is a destination of requests: a model engine or an instance of a plain
// service.
type Target struct {
	Name string `json:"name"`
	// Address is IP:port; names are not resolved.
	Address    string     `json:"address"`
	DataCentre string     `json:"dataCentre"`
	Kind       TargetKind `json:"kind"`
	// Service is the plain service's name, for KindService.
	Service string `json:"service,omitempty"`
	// Accelerator is the kind of accelerator, for KindEngine.
	Accelerator string `json:"accelerator,omitempty"`
	// Model, Version, Adapters and Layers say what the engine is to hold.
	Model    string     `json:"model,omitempty"`
	Version  string     `json:"version,omitempty"`
	Adapters []string   `json:"adapters,omitempty"`
	Layers   LayerRange `json:"layers"`
	// Slots is the number of requests that the target processes at once.
	Slots int `json:"slots"`
	// LayerTokensPerSecond is the engine's rate in layers times tokens a second,
	// so a stage of n layers processes LayerTokensPerSecond/n tokens a second.
	LayerTokensPerSecond float64 `json:"layerTokensPerSecond,omitempty"`
	Links                []Link  `json:"links,omitempty"`
	// RefusesOldFencing says that the engine refuses orders with an old fencing number.
	RefusesOldFencing bool `json:"refusesOldFencing,omitempty"`
	// ChecksCallers says that the target checks who sends it an order.
	ChecksCallers bool        `json:"checksCallers,omitempty"`
	State         TargetState `json:"state"`
	// Revision is the configuration version that last changed the target.
	Revision uint64 `json:"revision"`
}
