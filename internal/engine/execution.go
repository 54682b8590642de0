package engine

import "geraniumcroft/internal/config"

// Execution is one stage's work on one token.
type Execution struct {
	Target string            `json:"target"`
	Epoch  uint32            `json:"epoch"`
	Layers config.LayerRange `json:"layers"`
}
