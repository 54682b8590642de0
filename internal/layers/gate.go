package layers

import (
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/pushback"
)

// Gate decides whether a replica may be sent a request, by what the replica asked for. A
// request is sent only to the first replica of its path. The methods must not block.
type Gate interface {
	// Open reports whether the replica may be sent a request. If not, at is the earliest
	// time at which it may be, zero if only other VMs may send to it.
	Open(replica incarnation.Key, now time.Time) (open bool, at time.Time)
	// Take consumes one of the requests that the replica accepts, and reports whether it
	// may be sent.
	Take(replica incarnation.Key, now time.Time) bool
}

// openGate holds back no replica.
type openGate struct{}

func (openGate) Open(incarnation.Key, time.Time) (bool, time.Time) { return true, time.Time{} }
func (openGate) Take(incarnation.Key, time.Time) bool              { return true }

// open reports whether the replica may be sent a request.
func (s *search) open(r *replicaState) bool {
	open, _ := s.table.gate.Open(r.Key(), s.now)
	return open
}

// throttledErrorOr returns a *pushback.ThrottledError if err is ErrNoCapacity and all replicas at which
// the path could begin have asked not to be sent requests now, else err.
func (s *search) throttledErrorOr(err error) error {
	if !errors.Is(err, ErrNoCapacity) {
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
