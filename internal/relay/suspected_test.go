package relay

import (
	"context"
	"net/http"
	"testing"

	"geraniumcroft/internal/incarnation"
)

// Guards against a caller who is told that the service lacks replicas, when it is the request that is
// kept from them.
func TestSuspectIsRefusedForWhatItIs(t *testing.T) {
	guard, _ := newTestGuard()
	q := newTestRequest()
	guard.broke(q, incarnation.Key{ID: "a"}, func(context.Context) endedProbe { return endedYes })
	if failure := guard.spared(q); statusOf(failure) != http.StatusTooManyRequests || failure.RetryAfter <= 0 {
		t.Errorf("status %d: %+v", statusOf(failure), failure)
	}
}
