package telemetry

import "github.com/uber-go/tally/v4"

// byResult holds the counters of successful and failed attempts.
type byResult struct{ ok, failed tally.Counter }
