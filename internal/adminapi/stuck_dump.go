package adminapi

import "time"

// StuckDump stands in for a dump that did not end in time.
type StuckDump struct {
	Stuck bool `json:"stuck"`
	// Since is when the dump that has not ended began.
	Since  time.Time `json:"since"`
	Stacks string    `json:"stacks"`
}
