package telemetry

import (
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// requestKey holds the tags by which ended requests are counted in requests_total.
type requestKey struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	urgency config.Urgency
}
