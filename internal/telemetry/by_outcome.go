package telemetry

import (
	"github.com/uber-go/tally/v4"

	"geraniumcroft/internal/outcome"
)

// byOutcome holds a counter for each outcome.
type byOutcome [outcome.Complete + 1]tally.Counter
