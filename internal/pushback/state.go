package pushback

import (
	"time"

	"golang.org/x/time/rate"
)

// state is the flow control state of one incarnation of a replica.
type state struct {
	dataCentre string
	limit      Limit
	// announced is the limit that was last logged and sent to other VMs.
	announced Limit
	// leaving reports whether the replica has announced that it is leaving.
	leaving bool
	// limitAt is when the replica last sent its limit or its absence, to this VM or to one that passed
	// it on.
	limitAt time.Time
	// limitSince is when the current limit became known, lastAnswer when the replica last answered this
	// VM.
	limitSince time.Time
	lastAnswer time.Time
	// quota is this VM's share of the limit. bucket enforces it if this VM is a sender, else it is nil.
	quota  quota
	bucket *rate.Limiter
	// lastTrial is when this VM, while no sender, last sent a request.
	lastTrial time.Time
	// backOffUntil is the end of the back-off and zero without one, backOffSince its start, and
	// backOffSent the number of requests sent since the start.
	backOffUntil time.Time
	backOffSince time.Time
	backOffSent  uint64
	// lastSent is when Take last succeeded for the replica.
	lastSent time.Time
	// lastLoadQuery is when this VM last queried the load of the replica while it had a limit.
	lastLoadQuery time.Time
	// sent counts the requests of this VM to the replica since limitSince.
	sent uint64
	// parseFailure is the text of the last parse error that was logged.
	parseFailure string
}

// idle reports whether no signal of the replica is in force.
func (s *state) idle(now time.Time) bool {
	return !s.limit.Set && !s.leaving && s.backOffLeft(now) <= 0
}

// backOffLeft returns the remaining time of the back-off, 0 or less if there is none.
func (s *state) backOffLeft(now time.Time) time.Duration {
	if s.backOffUntil.IsZero() {
		return 0
	}
	return s.backOffUntil.Sub(now)
}

// expired reports whether the last signal and the last answer are both older than the lifetime of the
// state.
func (s *state) expired(now time.Time) bool {
	ttl := stateTTL
	if s.leaving {
		ttl = leavingTTL
	}
	return now.Sub(s.limitAt) > ttl && now.Sub(s.lastAnswer) > ttl
}
