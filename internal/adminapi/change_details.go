package adminapi

import "geraniumcroft/internal/config"

// ChangeDetails is a change with the VMs on which it is in force.
type ChangeDetails struct {
	ChangeResponse
	// Change is nil if compaction has removed it from the history.
	Change *config.Change `json:"change"`
}
