package engine

import "geraniumcroft/internal/config"

// State describes what an engine holds.
type State struct {
	Model    string            `json:"model"`
	Version  string            `json:"version"`
	Adapters []string          `json:"adapters"`
	Layers   config.LayerRange `json:"layers"`
	Role     string            `json:"role,omitempty"`
	// Active is the number of requests in flight, from all routers.
	Active  int  `json:"active"`
	Loading bool `json:"loading,omitempty"`
	// Fencing is the highest fencing number that the engine has seen; 0 from engines that
	// ignore fencing numbers.
	Fencing uint64 `json:"fencing,omitempty"`
}
