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
	// Resume marks a stream that was preempted and comes back: it goes ahead of
	// its level, and a full queue does not refuse it.
	Resume bool

	// turn is set while try is called in bulk's turn; guarded by the pool's lock.
	turn bool
}

// EffectiveUrgency is the urgency for which try should take capacity: the request's own,
// but normal for a bulk request that starts in bulk's turn. Without that, bulk
// would never find room while normal requests fill all but the slots that only
// they and urgent ones may take. It may only be called from within try.
func (r *Request) EffectiveUrgency() config.Urgency {
	if r.turn {
		return config.Normal
	}
	return r.Urgency
}

func (r *Request) weight() float64 { return float64(max(r.Weight, 1)) }

func (r *Request) cost() float64 { return float64(max(r.Cost, 1)) }

// lastStart is when the request must have left the queue.
func (r *Request) lastStart(now time.Time, maxWait time.Duration) time.Time {
	if r.MaxQueueWait > 0 {
		maxWait = min(maxWait, r.MaxQueueWait)
	}
	last := now.Add(maxWait)
	if r.Deadline.IsZero() {
		return last
	}
	if due := r.Deadline.Add(-r.Expected); due.Before(last) {
		return due
	}
	return last
}

// lost reports whether the request is too late even for a free slot. The expected
// time is an average, learnt from requests that were answered. Were it demanded in
// full, one slow spell could raise it above what callers allow, all would be
// refused on an idle system, and nothing would ever lower it again; half of it
// leaves that way open.
func (r *Request) lost(now time.Time) bool {
	return !r.Deadline.IsZero() && now.After(r.Deadline.Add(-r.Expected/2))
}
