package relay

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/pushback"
)

// Guards against callers waiting until their deadline for replicas that are known to accept
// nothing.
func TestRequestIsRefusedAtOnceWhenReplicasAreHeldForLongerThanItMayWait(t *testing.T) {
	h, now := &Handler{}, time.Now()
	q := &request{arrival: now, profile: &Profile{Objective: 100 * time.Millisecond}}
	soonOpen, late := &pushback.ThrottledError{Until: now.Add(200 * time.Millisecond)}, &pushback.ThrottledError{Until: now.Add(3 * time.Second)}
	if h.throttledTooLong(q, soonOpen) != nil || h.throttledTooLong(q, balance.ErrNoCapacity) != nil {
		t.Error("refused although it may wait")
	}
	if h.throttledTooLong(q, &pushback.ThrottledError{}) == nil {
		t.Error("waits although only other VMs may send")
	}
	throttled := h.throttledTooLong(q, errors.Wrap(late, "no slot"))
	if throttled == nil {
		t.Fatal("not refused")
	}
	failure := refuseThrottled(throttled)
	if failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonThrottled || failure.RetryAfter < 2*time.Second {
		t.Errorf("%+v", failure)
	}
}
