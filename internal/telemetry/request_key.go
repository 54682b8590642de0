package telemetry

import (
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// requestKey is what a request's end is counted by, besides its workspace.
type requestKey struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	urgency config.Urgency
}
