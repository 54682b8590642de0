package adminapi

import "geraniumcroft/internal/config"

// ChangesResponse is a section of the history.
type ChangesResponse struct {
	// Version is the configuration version that is in force on this VM.
	Version uint64          `json:"version"`
	Changes []config.Change `json:"changes"`
}
