package relay

import (
	"slices"
	"sync"
	"time"
)

const (
	// firstEventSamples is how many of the newest streams are remembered.
	firstEventSamples = 64
	// firstEventPercentile is the part of the streams whose first event should come within the estimate.
	firstEventPercentile = 0.9
)

// firstEventTimes holds how long the newest streams of this VM took from the send to the first event.
// It is safe for concurrent use.
type firstEventTimes struct {
	mu    sync.Mutex // guards the fields below
	times [firstEventSamples]time.Duration
	count int
}

// record adds the time of one stream.
func (f *firstEventTimes) record(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.times[f.count%firstEventSamples] = took
	f.count++
}

// usual returns the time within which most of the streams had their first event, 0 before the first.
func (f *firstEventTimes) usual() time.Duration {
	f.mu.Lock()
	newest := slices.Clone(f.times[:min(f.count, firstEventSamples)])
	f.mu.Unlock()
	if len(newest) == 0 {
		return 0
	}
	slices.Sort(newest)
	return newest[int(firstEventPercentile*float64(len(newest)-1))]
}
