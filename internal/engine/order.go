package engine

import "geraniumcroft/internal/config"

// Order describes everything that an engine is to hold. Anything else is to be unloaded.
type Order struct {
	// ID is unique; a repeated order with the same ID has no further effect.
	ID string `json:"id"`
	// Fencing is the fencing number of the sender's lease.
	Fencing  uint64            `json:"fencing"`
	Model    string            `json:"model"`
	Version  string            `json:"version"`
	Adapters []string          `json:"adapters"`
	Layers   config.LayerRange `json:"layers"`
	Role     string            `json:"role,omitempty"`
}
