package engine

import "geraniumcroft/internal/config"

// Execution records that a stage processed a token.
type Execution struct {
	Target string            `json:"target"`
	Epoch  uint32            `json:"epoch"`
	Layers config.LayerRange `json:"layers"`
}
