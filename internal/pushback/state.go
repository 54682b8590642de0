package pushback

import (
	"time"

	"golang.org/x/time/rate"
)

// state is what one incarnation of a replica has said.
type state struct {
	dataCentre string
	limit      Limit
	// noted is the limit that was last logged and told to other VMs.
	noted Limit
	// leaving says that the replica is about to end.
	leaving bool
	// told is when the replica last said whether it has a limit, to this VM or to one that passed it on.
	told time.Time
	// since is when the present limit was first heard of, heard when the replica last answered this VM.
	since time.Time
	heard time.Time
	// part is what this VM may send of the limit, and bucket bounds it for a sender.
	part   part
	bucket *rate.Limiter
	// tried is when this VM, no sender, last tried a request.
	tried time.Time
	// backOffUntil is until when the replica wants no requests from this VM, backOffSince since when, and
	// backOffSent how many it was sent since.
	backOffUntil time.Time
	backOffSince time.Time
	backOffSent  uint64
	// probed is when the replica was last sent a request.
	probed time.Time
	// asked is when this VM last asked for the replica's load.
	asked time.Time
	// sent counts this VM's requests to the replica since the limit was first heard of.
	sent uint64
	// unreadable is the last fault that was logged.
	unreadable string
}

// idle reports whether nothing is in force that the replica said.
func (s *state) idle(now time.Time) bool {
	return !s.limit.Set && !s.leaving && s.backOffLeft(now) <= 0
}

// backOffLeft is for how long yet the replica wants no requests from this VM, 0 or less if it does.
func (s *state) backOffLeft(now time.Time) time.Duration {
	if s.backOffUntil.IsZero() {
		return 0
	}
	return s.backOffUntil.Sub(now)
}

// forgotten reports whether the replica has said nothing for so long that it is not remembered.
func (s *state) forgotten(now time.Time) bool {
	after := forgetAfter
	if s.leaving {
		after = leavingForgetAfter
	}
	return now.Sub(s.told) > after && now.Sub(s.heard) > after
}
