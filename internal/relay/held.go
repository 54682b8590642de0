package relay

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/pushback"
)

// heldSpread is by how much longer callers are told to wait than replicas have asked for, at most,
// so that they do not all come back at the same moment.
const heldSpread = 0.5

// heldTooLong returns the error if all replicas have asked not to be sent requests for longer than
// the request may wait for its turn, or only other VMs may send to them, else nil.
func (h *Handler) heldTooLong(q *request, err error) *pushback.ThrottledError {
	var held *pushback.ThrottledError
	if !errors.As(err, &held) {
		return nil
	}
	if lastStart := q.arrival.Add(h.queueWait(q)); !held.Until.IsZero() && !held.Until.After(lastStart) {
		return nil
	}
	return held
}

// refuseHeld refuses a request that no replica takes until later.
func refuseHeld(held *pushback.ThrottledError) *outcome.Failure {
	left := soon // another VM may send to the replicas
	if !held.Until.IsZero() {
		left = max(soon, time.Until(held.Until))
	}
	spread := 1 + heldSpread*rand.Float64()
	return outcome.Refuse(outcome.ReasonThrottled, "all replicas have asked not to be sent requests now").
		WithRetryAfter(time.Duration(spread * float64(left))).WithCause(held)
}
