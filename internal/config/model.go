package config

// Model describes one model that engines can hold.
type Model struct {
	Name string `json:"name"`
	// Layers is the number of layers; ranges run from 0 to Layers.
	Layers int `json:"layers"`
	// Versions and Adapters that may be loaded.
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
	// ActivationBytes is what one token sends over a link between two stages.
	ActivationBytes int `json:"activationBytes,omitempty"`
	// Revision is the configuration version that last changed this entry.
	Revision uint64 `json:"revision"`
}
