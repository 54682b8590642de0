package config

// Model describes one model that engines can load.
type Model struct {
	Name string `json:"name"`
	// Layers is the number of layers; ranges run from 0 to Layers.
	Layers int `json:"layers"`
	// Versions and Adapters list what may be loaded.
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
	// ActivationBytes is the size of the activations that one stage sends to the next
	// for one token.
	ActivationBytes int `json:"activationBytes,omitempty"`
	// Revision is the configuration version that last changed the model.
	Revision uint64 `json:"revision"`
}
