package router

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// A workspace, or a profile, has as many requests in hand as it may have; the one
// in hand is with a service that keeps silent. The next caller is told not-run at
// once, with the time after which to come back, and no target hears of it. What
// the limit does not cover goes on. When the request in hand has ended, whatever
// its outcome, the next one is answered.
func TestLimitsOnRequestsInHand(t *testing.T) {
	cases := []struct {
		name    string
		set     func(*config.Snapshot)
		refused []string
		served  []string
	}{
		{
			name:    "workspace",
			set:     func(s *config.Snapshot) { s.Workspaces["w"].MaxInFlight = 1 },
			refused: []string{"hold", "ask"},
		},
		{
			name:    "profile",
			set:     func(s *config.Snapshot) { s.Profiles["hold"].Limits.MaxInFlight = 1 },
			refused: []string{"hold"},
			served:  []string{"ask"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1)
				defer w.close()
				c.set(w.snapshot)
				ended := w.occupy()
				for _, profile := range c.refused {
					w.wantLimited(t, profile)
				}
				for _, profile := range c.served {
					w.wantServed(t, profile, "beside it")
				}
				if failure := <-ended; failure == nil || failure.Outcome != outcome.Unknown {
					t.Fatalf("the request in hand ended as %v, want unknown", failure)
				}
				for _, profile := range c.refused {
					w.wantServed(t, profile, "after it")
				}
			})
		})
	}
}

// The same limit holds for generations: they and calls of one workspace count
// together, and a refused one opens no stage.
func TestWorkspaceLimitCoversGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		defer w.close()
		w.snapshot.Workspaces["w"].MaxInFlight = 1
		ended := w.occupy()
		sink := &recordingSink{}
		request := GenerateRequest{Metadata: limitIdentity("draft", "while full"), Prompt: []string{"a "}, MaxTokens: 2}
		_, err := w.vms[0].Generate(t.Context(), request, sink)
		wantLimit(t, err)
		for name, e := range w.engines {
			if e.Counts().Opens != 0 {
				t.Errorf("engine %s opened a stage for a refused request", name)
			}
		}
		<-ended
		request.Metadata = limitIdentity("draft", "when free")
		if _, err := w.vms[0].Generate(t.Context(), request, sink); err != nil || len(sink.tokens) != 2 {
			t.Errorf("tokens %v, error %v", sink.tokens, err)
		}
	})
}

// occupy has one call in hand until its deadline, as its service does not answer.
func (w *world) occupy() <-chan *outcome.Failure {
	w.services.order("s0", faultSilentAfter)
	w.services.order("s1", faultSilentAfter)
	ended := make(chan *outcome.Failure, 1)
	go func() {
		_, err := w.callWith(context.Background(), "hold", "in hand")
		ended <- asFailure(err)
	}()
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
	w.services.cancelOrders()
	return ended
}

func (w *world) callWith(ctx context.Context, profile, body string) (CallResult, error) {
	return w.vms[0].Call(ctx, CallRequest{Metadata: limitIdentity(profile, body), Body: []byte(body)})
}

func limitIdentity(profile, body string) Metadata {
	return Metadata{RequestID: profile + " " + body, Profile: profile, Arrival: time.Now(), BodyBytes: int64(len(body))}
}

func (w *world) wantLimited(t *testing.T, profile string) {
	t.Helper()
	body := "refused " + profile
	_, err := w.callWith(t.Context(), profile, body)
	wantLimit(t, err)
	if ran := w.services.timesRun(body); ran != 0 {
		t.Errorf("%s: refused, and ran %d times", profile, ran)
	}
}

func wantLimit(t *testing.T, err error) {
	t.Helper()
	var failure *outcome.Failure
	if !errors.As(err, &failure) {
		t.Errorf("error %v, want a refusal", err)
		return
	}
	if failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonWorkspaceLimit {
		t.Errorf("outcome %s, reason %s", failure.Outcome, failure.Reason)
	}
	if failure.RetryAfter <= 0 {
		t.Error("the caller is not told when to come back")
	}
}

func (w *world) wantServed(t *testing.T, profile, when string) {
	t.Helper()
	body := profile + " " + when
	answer, err := w.callWith(t.Context(), profile, body)
	if err != nil || string(answer.Body) != body {
		t.Errorf("%s: answer %q, error %v", body, answer.Body, err)
	}
	if ran := w.services.timesRun(body); ran != 1 {
		t.Errorf("%s: ran %d times", body, ran)
	}
}

func (m *memoryServices) cancelOrders() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.faults)
}
