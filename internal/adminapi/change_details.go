package adminapi

import "geraniumcroft/internal/config"

// ChangeDetails is a change and where it is in force.
type ChangeDetails struct {
	ChangeResponse
	// Change is null when compaction has dropped it.
	Change *config.Change `json:"change"`
}
