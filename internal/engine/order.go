package engine

import "geraniumcroft/internal/config"

// Order is a declarative order: the engine is to hold just this.
type Order struct {
	// ID is unique; a repeated order with the same ID has no further effect.
	ID string `json:"id"`
	// Fencing is the lease's fencing number.
	Fencing  uint64            `json:"fencing"`
	Model    string            `json:"model"`
	Version  string            `json:"version"`
	Adapters []string          `json:"adapters"`
	Layers   config.LayerRange `json:"layers"`
	Role     string            `json:"role,omitempty"`
}
