package relay

import (
	"context"
	"net/http"
	"testing"

	"geraniumcroft/internal/incarnation"
)

// Guards against telling a caller that the service lacks replicas when its request, as a suspect,
// is kept from them.
func TestSuspectIsRefusedForWhatItIs(t *testing.T) {
	guard, _ := newTestGuard()
	q := newTestRequest()
	guard.recordBrokenRun(q, incarnation.Key{ID: "a"}, func(context.Context) endedResult { return endedYes })
	if failure := guard.lastEntryRefusal(q); statusOf(failure) != http.StatusTooManyRequests || failure.RetryAfter <= 0 {
		t.Errorf("status %d: %+v", statusOf(failure), failure)
	}
}
