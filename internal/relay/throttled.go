package relay

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/pushback"
)

// throttledJitter is the largest fraction by which callers are told to wait longer than replicas
// have asked for, so that they do not all retry at the same time.
const throttledJitter = 0.5

// throttledTooLong returns the *pushback.ThrottledError in err if all replicas have asked not to be
// sent requests for longer than the request may wait in the queue, or if only other VMs may send to
// them. Otherwise it returns nil.
func (h *Handler) throttledTooLong(q *request, err error) *pushback.ThrottledError {
	var throttled *pushback.ThrottledError
	if !errors.As(err, &throttled) {
		return nil
	}
	if lastStart := q.arrival.Add(h.queueWait(q)); !throttled.Until.IsZero() && !throttled.Until.After(lastStart) {
		return nil
	}
	return throttled
}

// refuseThrottled refuses a request that no replica accepts until later.
func refuseThrottled(throttled *pushback.ThrottledError) *outcome.Failure {
	wait := defaultRetryAfter // another VM may send to the replicas
	if !throttled.Until.IsZero() {
		wait = max(defaultRetryAfter, time.Until(throttled.Until))
	}
	jitter := 1 + throttledJitter*rand.Float64()
	return outcome.Refuse(outcome.ReasonThrottled, "all replicas have asked not to be sent requests now").
		WithRetryAfter(time.Duration(jitter * float64(wait))).WithCause(throttled)
}
