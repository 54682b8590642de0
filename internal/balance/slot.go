package balance

import (
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
)

// Slot is one reserved place on a target.
type Slot struct {
	balancer *Balancer
	target   *target
	config   *config.Target
	started  time.Time
	released atomic.Bool
}

// Target returns the target as it was configured when the slot was taken.
func (s *Slot) Target() *config.Target { return s.config }

// Release gives the slot back and says how the work went. Only the first call
// has an effect.
func (s *Slot) Release(r Result) {
	if s.released.Swap(true) {
		return
	}
	s.balancer.release(s.target, r, s.started)
}
