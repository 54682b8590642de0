package layers

import (
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/pushback"
)

// Gate knows which replicas have asked not to be sent requests now. A request is sent to the first
// replica of its path alone. It must not block.
type Gate interface {
	// Open reports whether the replica may be sent a request, and else when it may be at the earliest,
	// zero if only other VMs may send to it.
	Open(replica incarnation.Key, now time.Time) (open bool, at time.Time)
	// Take uses up one request that the replica takes, and reports whether it may be sent.
	Take(replica incarnation.Key, now time.Time) bool
}

// openGate holds back no replica.
type openGate struct{}

func (openGate) Open(incarnation.Key, time.Time) (bool, time.Time) { return true, time.Time{} }
func (openGate) Take(incarnation.Key, time.Time) bool              { return true }

// gateOpen reports whether the replica may be sent a request.
func (s *search) gateOpen(r *replicaState) bool {
	open, _ := s.table.gate.Open(r.Key(), s.now)
	return open
}

// heldErrorOr returns why no path was found: that all replicas which it could begin at have asked not to
// be sent requests now, or else the error.
func (s *search) heldErrorOr(err error) error {
	if !errors.Is(err, ErrNoRoom) {
		return err
	}
	held := pushback.AllThrottled(func(yield func(bool, time.Time) bool) {
		for _, r := range s.holders {
			if r.Held.From <= s.from && !yield(s.table.gate.Open(r.Key(), s.now)) {
				return
			}
		}
	})
	if held == nil {
		return err
	}
	return held
}
