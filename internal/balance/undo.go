package balance

import (
	"time"

	"geraniumcroft/internal/invariant"
)

// Undo gives back a slot that was never used, without calling the OnFree function.
//
// A request that needs several slots takes them while it holds the lock of its queue, and
// gives the first ones back if a later target is full. The OnFree function wakes the queue,
// which would deadlock on that lock: every request of the pool would wait forever. The call
// is not needed, because no other request of the pool could look for a slot in between.
func (s *Slot) Undo() {
	if s.released.Swap(true) {
		return
	}
	left := s.target.inFlight.Add(-1)
	s.balancer.invariants.Check(left >= 0, invariant.SlotsNotNegative, "target %s has %d in flight", s.target.name, left)
	s.target.sent.add(time.Now(), -1)
}
