package engine

import "geraniumcroft/internal/config"

// Hop is one stage as the engines need to know it.
type Hop struct {
	Target  string            `json:"target"`
	Address string            `json:"address"`
	Layers  config.LayerRange `json:"layers"`
}
