package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// Request describes a request to Controller.Admit. The caller must not modify it after
// the call.
type Request struct {
	ID        string
	Workspace string
	Profile   string
	Pool      string
	Urgency   config.Urgency
	// Weight is the weight of the workspace in fair queueing. Values below 1 count as 1.
	Weight int
	// Cost is the expected work in tokens. Values below 1 count as 1.
	Cost int
	// Arrival is when the request reached this VM. Zero means the time of Admit.
	Arrival time.Time
	// Deadline is when the complete response is due. Zero means no deadline.
	Deadline time.Time
	// Expected is the estimated time from the start to the complete response.
	Expected time.Duration
	// MaxQueueWait limits the time in the queue, in addition to Settings.MaxWait and
	// the deadline. 0 means no further limit.
	MaxQueueWait time.Duration
	// Resume marks a preempted stream that is to continue. It goes before all other
	// requests of its level and is queued even if the queue is full.
	Resume bool
	// WorkConserving lets the request start on arrival although requests before it wait, if these
	// cannot start now. Its wait is bounded by MaxQueueWait alone, not by an estimate: where
	// requests find different capacity, a waiting one says little about the next.
	WorkConserving bool

	// inBulkTurn is set while try is called for a bulk request that starts before
	// normal ones, see Settings.NormalPerBulk. It is guarded by the lock of the pool.
	inBulkTurn bool
}

// EffectiveUrgency returns the urgency for which try should take capacity. It is the
// urgency of the request, except for a bulk request that starts before normal ones,
// which takes capacity as a normal request. Otherwise bulk requests would never find
// capacity while normal requests use all slots except those that bulk requests may not
// take. EffectiveUrgency may only be called from within try.
func (r *Request) EffectiveUrgency() config.Urgency {
	if r.inBulkTurn {
		return config.Normal
	}
	return r.Urgency
}

func (r *Request) weight() float64 { return float64(max(r.Weight, 1)) }

func (r *Request) cost() float64 { return float64(max(r.Cost, 1)) }

// startDeadline returns the time until which the request may stay in the queue.
func (r *Request) startDeadline(now time.Time, maxWait time.Duration) time.Time {
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

// missesDeadline reports whether the request is too late even if it starts at once. It
// requires only half of the expected time to be left. The expected time is an average
// over answered requests: if all of it were required, a slow period could raise the
// average above what callers allow, all requests would be refused although the system
// is idle, and no answer would ever lower the average again.
func (r *Request) missesDeadline(now time.Time) bool {
	return !r.Deadline.IsZero() && now.After(r.Deadline.Add(-r.Expected/2))
}
