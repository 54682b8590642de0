package layers

import "time"

const (
	// useSampleInterval is the least time between two samples of a useHistory.
	useSampleInterval = 100 * time.Millisecond
	// useSamples covers loadMaxAge, after which a report is not used any more, and the report's own lag.
	useSamples = int((loadMaxAge+meanReportLag)/useSampleInterval) + 1
	// meanReportLag is how much older than its snapshot a report is on average: half of the time to poll
	// all replicas, and the time by which replicas state that their reports lag.
	meanReportLag = 400 * time.Millisecond
)

// use is what the requests of this VM use of a replica.
type use struct {
	// reserved is memory in tokens times layers.
	reserved float64
	// entries is the number of requests with their first stage at the replica, streams that of
	// requests with any stage there.
	entries, streams int
}

// plus returns the sum of two uses.
func (u use) plus(more use) use {
	return use{reserved: u.reserved + more.reserved, entries: u.entries + more.entries, streams: u.streams + more.streams}
}

// useHistory remembers what a VM used of a replica in the last seconds. A load report shows the past:
// what the VM has started since then has to be added, and what has ended subtracted.
type useHistory struct {
	samples [useSamples]useSample
	count   int
}

type useSample struct {
	at time.Time
	use
}

// add remembers the use from a time on.
func (h *useHistory) add(now time.Time, u use) {
	if h.count > 0 {
		last := &h.samples[(h.count-1)%useSamples]
		if now.Sub(last.at) < useSampleInterval {
			last.use = u
			return
		}
	}
	h.samples[h.count%useSamples] = useSample{at: now, use: u}
	h.count++
}

// at returns the use at a time; nothing before the first sample that is remembered.
func (h *useHistory) at(then time.Time) use {
	for n := h.count - 1; n >= max(0, h.count-useSamples); n-- {
		if s := h.samples[n%useSamples]; !s.at.After(then) {
			return s.use
		}
	}
	return use{}
}

// adjust adds to all samples.
func (h *useHistory) adjust(more use) {
	for n := max(0, h.count-useSamples); n < h.count; n++ {
		s := &h.samples[n%useSamples]
		s.use = s.use.plus(more)
	}
}
