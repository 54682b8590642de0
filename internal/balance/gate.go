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

// held returns the error for the targets that q accepts if all of them have asked not to be sent requests
// now, else nil.
func (p *pool) held(q *Query, gate Gate, now time.Time) *pushback.ThrottledError {
	return pushback.AllThrottled(func(yield func(bool, time.Time) bool) {
		for _, t := range p.members {
			if t.blockedAt.Load() == 0 && q.accepts(t) && !yield(gate.Open(t.name, now)) {
				return
			}
		}
	})
}
