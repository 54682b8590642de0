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

// told is what one arrival's caller was told.
type told struct {
	arrival
	id, vm  string
	body    string
	outcome outcome.Outcome
	reason  outcome.Reason
	detail  string
	tokens  []string
	late    time.Duration
	// lost callers' VM died under them; skipped ones found none.
	lost, skipped bool
	// inOrder says that the VM was being stopped in order when the request ended.
	inOrder bool
}

// sink keeps what the caller of a generation got.
type sink struct{ tokens []string }

// Token implements router.TokenSink.
func (s *sink) Token(position int, text string) error {
	if position != len(s.tokens) {
		return fmt.Errorf("token %d where %d is due", position, len(s.tokens))
	}
	s.tokens = append(s.tokens, text)
	return nil
}

// balanced returns the VM that the balancer gives a caller.
func (w *world) balanced(a arrival) *vm {
	if v := w.vm(a.vm); v != nil && (a.stubborn || v.Router().Ready()) {
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

// request sends one arrival and waits for its one outcome.
func (w *world) request(number int, a arrival) told {
	time.Sleep(a.at)
	return w.requestAt(fmt.Sprintf("r%d", number), a, w.balanced(a))
}

func (w *world) requestAt(id string, a arrival, v *vm) told {
	got := told{arrival: a, id: id, body: "body " + id}
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
	if a.gone > 0 {
		timer := time.AfterFunc(a.gone, cancel)
		defer timer.Stop()
	}
	w.judgeServing("as " + id + " arrived")
	now := time.Now()
	w.mu.Lock()
	w.arrivals[id] = now
	w.mu.Unlock()
	got.take(w.send(ctx, v, &got, now))
	got.lost = v.severed.Load() && !v.stopping.Load()
	got.inOrder = v.stopping.Load()
	return got
}

func (w *world) send(ctx context.Context, v *vm, got *told, now time.Time) error {
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
		w.wrong("%s asked with %q and was answered %q", got.id, got.body, result.Body)
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

func (t *told) take(err error) {
	t.outcome = outcome.Complete
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		t.outcome, t.reason, t.detail = failure.Outcome, failure.Reason, failure.Detail
		if failure.Cause != nil {
			t.detail += ": " + failure.Cause.Error()
		}
	}
}

func (t told) String() string {
	return fmt.Sprintf("%s (%s at %s on %s, key %q, gone %s): %s %s %s", t.id, t.profile, t.at, t.vm, t.key, t.gone, t.outcome, t.reason, t.detail)
}
