package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// Request is what admission needs to know of a request. Its fields are not
// modified after the call to Admit.
type Request struct {
	ID        string
	Workspace string
	Profile   string
	Pool      string
	Urgency   config.Urgency
	// Weight is the workspace's share in fair queueing; below 1 counts as 1.
	Weight int
	// Cost is the expected work in tokens; below 1 counts as 1.
	Cost int
	// Arrival is when the request reached this VM; zero takes the time of Admit.
	Arrival time.Time
	// Deadline is when the whole answer is due; zero is unbounded.
	Deadline time.Time
	// Expected is the estimated time from the start to the whole answer.
	Expected time.Duration
	// MaxQueueWait bounds the time in the queue; 0 leaves the deadline.
	MaxQueueWait time.Duration
	// MaxInFlight bounds the workspace's requests in hand on this VM, queued ones
	// included; 0 is unbounded.
	MaxInFlight int
	// ProfileMaxInFlight bounds the profile's requests in the same way.
	ProfileMaxInFlight int
	// Resume marks a stream that was preempted and comes back: it goes ahead of
	// its level, and neither a full queue nor an in-flight limit refuses it.
	Resume bool

	// turn is set while try is called in bulk's turn; guarded by the pool's lock.
	turn bool
}

// TakeAs is the urgency for which try should take capacity: the request's own,
// but normal for a bulk request that starts in bulk's turn. Without that, bulk
// would never find room while normal requests fill all but the slots that only
// they and urgent ones may take. It may only be called from within try.
func (r *Request) TakeAs() config.Urgency {
	if r.turn {
		return config.Normal
	}
	return r.Urgency
}

func (r *Request) weight() float64 { return float64(max(r.Weight, 1)) }

func (r *Request) cost() float64 { return float64(max(r.Cost, 1)) }

// lastStart is when the request must have started; zero is unbounded.
func (r *Request) lastStart(now time.Time) time.Time {
	var last time.Time
	if !r.Deadline.IsZero() {
		last = r.Deadline.Add(-r.Expected)
	}
	if r.MaxQueueWait <= 0 {
		return last
	}
	waited := now.Add(r.MaxQueueWait)
	if last.IsZero() || waited.Before(last) {
		return waited
	}
	return last
}
