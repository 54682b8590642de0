package balance

import (
	"time"

	"geraniumcroft/internal/pushback"
)

// Gate knows which targets have asked not to be sent requests now. It must not block.
type Gate interface {
	// Open reports whether the target may be sent a request, and else when it may be at the earliest,
	// zero if only other VMs may send to it.
	Open(target string, now time.Time) (open bool, at time.Time)
	// Take uses up one request that the target takes, and reports whether it may be sent.
	Take(target string, now time.Time) bool
}

// openGate holds back no target.
type openGate struct{}

func (openGate) Open(string, time.Time) (bool, time.Time) { return true, time.Time{} }
func (openGate) Take(string, time.Time) bool              { return true }

// held returns when the first of the targets that q accepts may be sent a request, if all of them
// have asked not to be sent any now; else ok is false.
func (p *pool) held(q *Query, gate Gate, now time.Time) (failure *pushback.HeldError, ok bool) {
	var until time.Time
	found := false
	for _, t := range p.members {
		if t.blockedAt.Load() != 0 || !q.accepts(t) {
			continue
		}
		open, at := gate.Open(t.name, now)
		if open {
			return nil, false
		}
		found, until = true, pushback.Sooner(until, at)
	}
	return &pushback.HeldError{Until: until}, found
}
