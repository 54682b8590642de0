package relay

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/pushback"
)

// heldJitter is the largest fraction by which callers are told to wait longer than replicas have
// asked for, so that they do not all retry at the same time.
const heldJitter = 0.5

// heldTooLong returns the *pushback.HeldError in err if all replicas have asked not to be sent
// requests for longer than the request may wait in the queue, or if only other VMs may send to
// them. Otherwise it returns nil.
func (h *Handler) heldTooLong(q *request, err error) *pushback.HeldError {
	var held *pushback.HeldError
	if !errors.As(err, &held) {
		return nil
	}
	if lastStart := q.arrival.Add(h.queueWait(q)); !held.Until.IsZero() && !held.Until.After(lastStart) {
		return nil
	}
	return held
}

// refuseHeld refuses a request that no replica accepts until later.
func refuseHeld(held *pushback.HeldError) *outcome.Failure {
	wait := defaultRetryAfter // another VM may send to the replicas
	if !held.Until.IsZero() {
		wait = max(defaultRetryAfter, time.Until(held.Until))
	}
	jitter := 1 + heldJitter*rand.Float64()
	return outcome.Refuse(outcome.ReasonHeld, "all replicas have asked not to be sent requests now").
		WithRetryAfter(time.Duration(jitter * float64(wait))).WithCause(held)
}
