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

// A workspace, or a profile, has reached its limit of requests in progress, because a service
// does not respond. The next request gets the outcome not-run at once, with a RetryAfter, and
// is not sent to a target. Requests that the limit does not apply to are served. When the
// request in progress has ended, with any outcome, the next one is served.
func TestLimitsOnRequestsInProgress(t *testing.T) {
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
				f := newFleet(1)
				defer f.close()
				c.set(f.snapshot)
				ended := f.occupy()
				for _, profile := range c.refused {
					f.wantLimited(t, profile)
				}
				for _, profile := range c.served {
					f.wantServed(t, profile, "beside it")
				}
				if failure := <-ended; failure == nil || failure.Outcome != outcome.Unknown {
					t.Fatalf("the request in progress ended as %v, want unknown", failure)
				}
				for _, profile := range c.refused {
					f.wantServed(t, profile, "after it")
				}
			})
		})
	}
}

// The limit includes generations: generations and calls of one workspace count together, and
// a refused generation opens no stage.
func TestWorkspaceLimitCoversGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.close()
		f.snapshot.Workspaces["w"].MaxInFlight = 1
		ended := f.occupy()
		sink := &recordingSink{}
		request := GenerateRequest{Metadata: limitMetadata("draft", "while full"), Prompt: []string{"a "}, MaxTokens: 2}
		_, err := f.vms[0].Generate(t.Context(), request, sink)
		wantLimit(t, err)
		for name, e := range f.engines {
			if e.Counts().Opens != 0 {
				t.Errorf("engine %s opened a stage for a refused request", name)
			}
		}
		<-ended
		request.Metadata = limitMetadata("draft", "when free")
		if _, err := f.vms[0].Generate(t.Context(), request, sink); err != nil || len(sink.tokens) != 2 {
			t.Errorf("tokens %v, error %v", sink.tokens, err)
		}
	})
}

// occupy keeps one call in progress until its deadline, because its service does not respond.
// The channel receives its failure.
func (f *fleet) occupy() <-chan *outcome.Failure {
	f.services.injectFault("s0", faultSilentAfter)
	f.services.injectFault("s1", faultSilentAfter)
	ended := make(chan *outcome.Failure, 1)
	go func() {
		_, err := f.callWith(context.Background(), "hold", "in hand")
		ended <- asFailure(err)
	}()
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
	f.services.clearFaults()
	return ended
}

func (f *fleet) callWith(ctx context.Context, profile, body string) (CallResult, error) {
	return f.vms[0].Call(ctx, CallRequest{Metadata: limitMetadata(profile, body), Body: []byte(body)})
}

// limitMetadata returns the metadata of a request with this profile and body.
func limitMetadata(profile, body string) Metadata {
	return Metadata{RequestID: profile + " " + body, Profile: profile, Arrival: time.Now(), BodyBytes: int64(len(body))}
}

// wantLimited expects that a call is refused because of the limit and does not run.
func (f *fleet) wantLimited(t *testing.T, profile string) {
	t.Helper()
	body := "refused " + profile
	_, err := f.callWith(t.Context(), profile, body)
	wantLimit(t, err)
	if ran := f.services.timesRun(body); ran != 0 {
		t.Errorf("%s: refused, but ran %d times", profile, ran)
	}
}

// wantLimit expects a refusal because of the limit, with a RetryAfter.
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
		t.Error("the refusal has no RetryAfter")
	}
}

// wantServed expects that a call is served and runs once.
func (f *fleet) wantServed(t *testing.T, profile, when string) {
	t.Helper()
	body := profile + " " + when
	answer, err := f.callWith(t.Context(), profile, body)
	if err != nil || string(answer.Body) != body {
		t.Errorf("%s: answer %q, error %v", body, answer.Body, err)
	}
	if ran := f.services.timesRun(body); ran != 1 {
		t.Errorf("%s: ran %d times", body, ran)
	}
}

func (m *memoryServices) clearFaults() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.faults)
}
