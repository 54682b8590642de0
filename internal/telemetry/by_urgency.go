package telemetry

import (
	"github.com/uber-go/tally/v4"

	"geraniumcroft/internal/config"
)

type byUrgency [config.UrgencyCount]tally.Histogram
