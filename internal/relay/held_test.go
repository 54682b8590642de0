package relay

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/pushback"
)

// Guards against callers that wait until their deadline for replicas which are known to take nothing.
func TestRequestIsRefusedAtOnceWhenReplicasAreHeldForLongerThanItMayWait(t *testing.T) {
	h, now := &Handler{}, time.Now()
	q := &request{arrival: now, profile: &Profile{Objective: 100 * time.Millisecond}}
	soonOpen, late := &pushback.ThrottledError{Until: now.Add(200 * time.Millisecond)}, &pushback.ThrottledError{Until: now.Add(3 * time.Second)}
	if h.heldTooLong(q, soonOpen) != nil || h.heldTooLong(q, balance.ErrNoCapacity) != nil {
		t.Error("refused though it may wait")
	}
	if h.heldTooLong(q, &pushback.ThrottledError{}) == nil {
		t.Error("waits though only other VMs may send")
	}
	held := h.heldTooLong(q, errors.Wrap(late, "no slot"))
	if held == nil {
		t.Fatal("not refused")
	}
	failure := refuseHeld(held)
	if failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonThrottled || failure.RetryAfter < 2*time.Second {
		t.Errorf("%+v", failure)
	}
}
