package engine

import "geraniumcroft/internal/config"

// State is what an engine holds.
type State struct {
	Model    string            `json:"model"`
	Version  string            `json:"version"`
	Adapters []string          `json:"adapters"`
	Layers   config.LayerRange `json:"layers"`
	Role     string            `json:"role,omitempty"`
	// Active counts requests in hand, of every router.
	Active  int  `json:"active"`
	Loading bool `json:"loading,omitempty"`
	// Fencing is the highest fencing number seen; 0 from engines that ignore it.
	Fencing uint64 `json:"fencing,omitempty"`
}
