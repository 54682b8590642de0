package fleettest

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

// callerResult is an arrival with the answer to its caller.
type callerResult struct {
	arrival
	id, vm  string
	body    string
	outcome outcome.Outcome
	reason  outcome.Reason
	detail  string
	tokens  []string
	late    time.Duration
	// lost says that the VM died during the request, skipped that no VM was ready.
	lost, skipped bool
	// graceful says that the VM was being stopped gracefully when the request ended.
	graceful bool
}

// sink collects the tokens of a generation.
type sink struct{ tokens []string }

// Token implements router.TokenSink.
func (s *sink) Token(position int, text string) error {
	if position != len(s.tokens) {
		return fmt.Errorf("got token %d, want token %d", position, len(s.tokens))
	}
	s.tokens = append(s.tokens, text)
	return nil
}

// pickVM returns the VM to which a load balancer sends the request, or nil if none is
// ready.
func (w *world) pickVM(a arrival) *vm {
	if v := w.vm(a.vm); v != nil && (a.pinned || v.Router().Ready()) {
		return v
	}
	all := w.running()
	for number := range all {
		if v := all[(number+a.vm)%len(all)]; v.Router().Ready() {
			return v
		}
	}
	return nil
}

// request waits for the time of an arrival, sends the request and waits for its outcome.
func (w *world) request(number int, a arrival) callerResult {
	time.Sleep(a.at)
	return w.requestAt(fmt.Sprintf("r%d", number), a, w.pickVM(a))
}

func (w *world) requestAt(id string, a arrival, v *vm) callerResult {
	got := callerResult{arrival: a, id: id, body: "body " + id}
	if a.key != "" {
		got.body = "body of " + a.key
	}
	if v == nil {
		got.skipped = true
		return got
	}
	got.vm = v.name
	ctx, cancel := context.WithCancel(v.requests)
	defer cancel()
	if a.disconnectAfter > 0 {
		timer := time.AfterFunc(a.disconnectAfter, cancel)
		defer timer.Stop()
	}
	w.checkServing("as " + id + " arrived")
	now := time.Now()
	w.mu.Lock()
	w.arrivals[id] = now
	w.mu.Unlock()
	got.setOutcome(w.send(ctx, v, &got, now))
	got.lost = v.dead.Load() && !v.stopping.Load()
	got.graceful = v.stopping.Load()
	return got
}

func (w *world) send(ctx context.Context, v *vm, got *callerResult, now time.Time) error {
	identity := router.Metadata{
		RequestID: got.id, Profile: got.profile, IdempotencyKey: got.key, Arrival: now,
		BodyBytes: int64(len(got.body)), Digest: sha256.Sum256([]byte(got.body)),
	}
	deadline := deadlineOf(got.profile)
	defer func() { got.late = time.Since(now) - deadline }()
	if got.profile == "draft" || got.profile == "check" {
		s := &sink{}
		_, err := v.Router().Generate(ctx, router.GenerateRequest{Metadata: identity, Prompt: []string{"a ", "b "}, MaxTokens: got.arrival.tokens}, s)
		got.tokens = s.tokens
		return err
	}
	result, err := v.Router().Call(ctx, router.CallRequest{Metadata: identity, Body: []byte(got.body)})
	if err == nil && string(result.Body) != got.body {
		w.problemf("%s sent %q and got the answer %q", got.id, got.body, result.Body)
	}
	return err
}

func deadlineOf(profile string) time.Duration {
	for _, p := range profiles() {
		if p.Name == profile {
			return time.Duration(p.Deadline)
		}
	}
	return 0
}

// setOutcome sets the outcome from the error of a request.
func (t *callerResult) setOutcome(err error) {
	t.outcome = outcome.Complete
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		t.outcome, t.reason, t.detail = failure.Outcome, failure.Reason, failure.Detail
		if failure.Cause != nil {
			t.detail += ": " + failure.Cause.Error()
		}
	}
}

func (t callerResult) String() string {
	return fmt.Sprintf("%s (%s at %s on %s, key %q, gone %s): %s %s %s", t.id, t.profile, t.at, t.vm, t.key, t.disconnectAfter, t.outcome, t.reason, t.detail)
}
