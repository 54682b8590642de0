package balance

import (
	"time"

	"geraniumcroft/internal/invariant"
)

// Undo gives back a slot that was never used, without telling OnFree.
//
// A request that needs several slots takes them under its queue's lock and gives
// back the first ones when a later one is full. Telling OnFree there would wake
// the queue from under its own lock: every request of the pool would wait for
// good. Nobody needs to be told, because nobody else of the pool could have
// looked in between.
func (s *Slot) Undo() {
	if s.released.Swap(true) {
		return
	}
	left := s.target.inFlight.Add(-1)
	s.balancer.invariants.Check(left >= 0, invariant.SlotsNotNegative, "target %s has %d in flight", s.target.name, left)
	s.target.sent.add(time.Now(), -1)
}
