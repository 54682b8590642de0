package adminapi

import "geraniumcroft/internal/config"

// ChangeShown is a change and where it is in force.
type ChangeShown struct {
	ChangeAnswer
	// Change is null when compaction has dropped it.
	Change *config.Change `json:"change"`
}
