package balance

import (
	"time"

	"geraniumcroft/internal/pushback"
)

// Gate decides whether a target may be sent a request, by what the target asked for. The
// methods must not block.
type Gate interface {
	// Open reports whether the target may be sent a request. If not, at is the earliest time
	// at which it may be, zero if only other VMs may send to it.
	Open(target string, now time.Time) (open bool, at time.Time)
	// Take consumes one of the requests that the target accepts, and reports whether it may
	// be sent.
	Take(target string, now time.Time) bool
}

// openGate holds back no target.
type openGate struct{}

func (openGate) Open(string, time.Time) (bool, time.Time) { return true, time.Time{} }
func (openGate) Take(string, time.Time) bool              { return true }

// throttledError returns an error if all targets that q accepts have asked not to be sent
// requests now, else nil.
func (p *pool) throttledError(q *Query, gate Gate, now time.Time) *pushback.ThrottledError {
	return pushback.AllThrottled(func(yield func(bool, time.Time) bool) {
		for _, t := range p.members {
			if t.blockedAt.Load() == 0 && q.accepts(t) && !yield(gate.Open(t.name, now)) {
				return
			}
		}
	})
}
