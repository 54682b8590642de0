package engine

import "geraniumcroft/internal/config"

// Hop describes one stage of a generation to the engines.
type Hop struct {
	Target  string            `json:"target"`
	Address string            `json:"address"`
	Layers  config.LayerRange `json:"layers"`
}
