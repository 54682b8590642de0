package adminapi

import "time"

// StuckDump is sent instead of a dump that did not finish in time.
type StuckDump struct {
	Stuck bool `json:"stuck"`
	// Since is when the unfinished dump started.
	Since  time.Time `json:"since"`
	Stacks string    `json:"stacks"`
}
