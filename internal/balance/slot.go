package balance

import (
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
)

// Slot is a reserved slot on a target. It is safe for concurrent use.
type Slot struct {
	balancer *Balancer
	target   *target
	config   *config.Target
	started  time.Time
	released atomic.Bool
}

// Target returns the target as it was configured when the slot was reserved.
func (s *Slot) Target() *config.Target { return s.config }

// Release gives back the slot with the result of its request. Only the first call of Release
// or Undo has an effect.
func (s *Slot) Release(r Result) {
	if s.released.Swap(true) {
		return
	}
	s.balancer.release(s.target, r, s.started)
}
