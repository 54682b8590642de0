package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

const ms = time.Millisecond

// Bucket bounds of the histograms. firstTokenBuckets and betweenTokensBuckets have a bound at
// their latency objective, 350 ms and 66 ms.
var (
	queueBuckets = tally.DurationBuckets{
		ms / 2, ms, 2 * ms, 5 * ms, 10 * ms, 20 * ms, 50 * ms, 100 * ms, 200 * ms, 500 * ms,
		time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
	}
	firstTokenBuckets = tally.DurationBuckets{
		5 * ms, 10 * ms, 25 * ms, 50 * ms, 100 * ms, 150 * ms, 200 * ms, 250 * ms, 350 * ms, 500 * ms, 750 * ms,
		time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
	}
	betweenTokensBuckets = tally.DurationBuckets{
		ms, 2 * ms, 5 * ms, 10 * ms, 20 * ms, 35 * ms, 50 * ms, 66 * ms, 80 * ms, 100 * ms, 150 * ms, 250 * ms, 500 * ms,
		time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	}
	requestBuckets = tally.DurationBuckets{
		ms, 2 * ms, 5 * ms, 10 * ms, 25 * ms, 50 * ms, 100 * ms, 250 * ms, 500 * ms, time.Second, 2 * time.Second, 5 * time.Second,
		10 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute,
	}
)
