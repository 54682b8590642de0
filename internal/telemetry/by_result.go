package telemetry

import "github.com/uber-go/tally/v4"

type byResult struct{ ok, failed tally.Counter }
