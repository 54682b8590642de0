package adminapi

import "geraniumcroft/internal/config"

// ChangesResponse is a part of the history.
type ChangesResponse struct {
	// Version is the configuration's, as this VM has it in force.
	Version uint64          `json:"version"`
	Changes []config.Change `json:"changes"`
}
