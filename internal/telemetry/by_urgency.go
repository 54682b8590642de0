package telemetry

import (
	"github.com/uber-go/tally/v4"

	"geraniumcroft/internal/config"
)

// byUrgency holds a histogram for each urgency.
type byUrgency [config.UrgencyCount]tally.Histogram
