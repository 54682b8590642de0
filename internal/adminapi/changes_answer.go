package adminapi

import "geraniumcroft/internal/config"

// ChangesAnswer is a part of the history.
type ChangesAnswer struct {
	// Version is the configuration's, as this VM has it in force.
	Version uint64          `json:"version"`
	Changes []config.Change `json:"changes"`
}
