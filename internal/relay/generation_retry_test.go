package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/sleep"
)

// newResumingStream returns a stream of which the caller has received a part.
func newResumingStream(h *Handler, id string, service string) *generation {
	profile := &Profile{Name: "drafts", Objective: 500 * time.Millisecond, Resumable: true, MaxAttempts: 2, Backends: []Backend{{service, 1}}}
	q := &request{
		Inbound: Inbound{RequestID: id, PromptTokens: 800, LikelyAnswerTokens: 100}, arrival: time.Now(), deadline: time.Now().Add(callerTimeout),
		profile: profile, service: service, sendGuard: dispatch.NewSendGuard(id, true, invariant.Strict()),
	}
	g := &generation{h: h, q: q, table: h.Pools.of(service), headSent: true, lastEvent: "1"}
	g.events.Store(1)
	return g
}

// capacityGate is a layers.Gate that takes no request while it is closed, as if all replicas were full.
type capacityGate struct{ open atomic.Bool }

func (g *capacityGate) Open(incarnation.Key, time.Time) (bool, time.Time) { return true, time.Time{} }
func (g *capacityGate) Take(incarnation.Key, time.Time) bool              { return g.open.Load() }

// Guards against a service that gets the retries of two windows in one: streams that had been charged while
// they waited for capacity were all sent at the moment at which the replicas came back, beside those of
// that window.
func TestRetryIsChargedWhenItIsSent(t *testing.T) {
	const slack, streams, window = 10, 25, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		h := newCompetingLoad(1, competingSeed).vms[0]
		h.RetryBudgets = NewRetryBudgets(RetryBudgetSettings{Slack: slack / establishedFraction, Window: window, FirstStart: true})
		var gate capacityGate
		h.Pools.of(competingService).SetGate(&gate)
		var mu sync.Mutex
		var sent []time.Time
		var waiting sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for ok := true; ok; ok = sleep.For(ctx, time.Second) {
				h.RetryBudgets.SetFleet(FleetCount{VMs: 1, Counted: true})
			}
		}()
		synctest.Wait()
		for i := range streams {
			waiting.Go(func() {
				g := newResumingStream(h, fmt.Sprint("stream-", i), competingService)
				if r, failure := g.nextReservation(ctx, &notRunError{}); failure == nil {
					mu.Lock()
					sent = append(sent, time.Now())
					mu.Unlock()
					r.Release(true)
					h.Admission.Wake(competingService)
				}
			})
		}
		const outage = window + 2*time.Second
		time.Sleep(outage)
		if usage := h.RetryBudgets.Budget(competingService).Usage(); usage.Retries != 0 {
			t.Errorf("%d retries charged while no stream was sent", usage.Retries)
		}
		gate.open.Store(true)
		h.Admission.Wake(competingService)
		waiting.Wait()
		t.Logf("%d of %d streams sent again", len(sent), streams)
		for _, from := range sent {
			inWindow := 0
			for _, at := range sent {
				if !at.Before(from) && at.Sub(from) < window {
					inWindow++
				}
			}
			if inWindow > slack {
				t.Fatalf("%d retries sent in one window, %d allowed", inWindow, slack)
			}
		}
		if len(sent) < slack {
			t.Errorf("%d streams sent again, the budget allows %d", len(sent), slack)
		}
	})
}
