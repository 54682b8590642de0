package experiment

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/sleep"
)

const (
	overload         = 2.0
	urgentPerSecond  = 12.0
	urgentCalls      = 40.0
	urgentTokens     = 10
	bulkTokens       = 60
	bulkLead         = 2 * time.Second
	drainWait        = 30 * time.Second
	wantedUrgentness = 1.2
)

// urgentPool leaves the engines' own queues short when every slot is in use, so
// that what urgent work waits for is the router's to decide.
var urgentPool = pool{
	layers: 16, copies: 4, slots: 8, layerRate: 4800, tokenLatency: 10 * time.Millisecond,
	instances: 2, serviceSlots: 8, serviceTime: 40 * time.Millisecond,
}

// urgent compares urgent requests beside bulk of twice the capacity with the same
// ones on an idle system, for the product and for the baseline.
func urgent(ctx context.Context, t *Trial) error {
	return measureBoth(ctx, t, urgentScene, (*scene).urgentPhases)
}

func urgentScene(ctx context.Context) (*scene, error) {
	s, err := newScene(ctx, 2, nil)
	if err != nil {
		return nil, err
	}
	if err := s.addPool(ctx, urgentPool); err != nil {
		return s, err
	}
	return s, s.applyProfiles(ctx,
		generationProfile("permit-check", config.Urgent, 10*time.Second), generationProfile("summary", config.Bulk, 20*time.Second),
		callProfile("lockout", config.Urgent, false, 5*time.Second), callProfile("report", config.Bulk, true, 5*time.Second))
}

func (s *scene) urgentPhases(ctx context.Context, t *Trial, prefix string, callers []callclient.Client) error {
	idle := together(ctx, t.Duration, urgentTraffic(t, callers))
	loaded, bulk := underBulk(ctx, t, callers)
	t.report.urgencyFigures(t, prefix, idle, loaded)
	t.figure(prefix+"bulk tokens/s of capacity", "ratio", bulk["summary"].tokensPerSecond()/urgentPool.tokensPerSecond())
	for _, name := range []string{"summary", "report"} {
		t.figure(prefix+"bulk "+name+" complete", "share", bulk[name].share())
		t.figure(prefix+"bulk "+name+" neither complete nor not-run", "", float64(bulk[name].unknown+bulk[name].lost))
	}
	return s.drain(ctx)
}

func urgentTraffic(t *Trial, callers []callclient.Client) map[string]traffic {
	return map[string]traffic{
		"generation": {callers: callers, profile: "permit-check", perSecond: urgentPerSecond, tokens: urgentTokens, seed: t.Seed},
		"call":       {callers: callers, profile: "lockout", perSecond: urgentCalls, seed: t.Seed + 1},
	}
}

// underBulk starts the bulk requests first, so that all slots are in use when the
// urgent ones begin.
func underBulk(ctx context.Context, t *Trial, callers []callclient.Client) (urgent, bulk map[string]*tally) {
	done := make(chan map[string]*tally, 1)
	go func() {
		done <- together(ctx, t.Duration+bulkLead, map[string]traffic{
			"summary": {callers: callers, profile: "summary", perSecond: overload * urgentPool.tokensPerSecond() / bulkTokens, tokens: bulkTokens, seed: t.Seed + 2},
			"report":  {callers: callers, profile: "report", perSecond: overload * urgentPool.callsPerSecond(), seed: t.Seed + 3},
		})
	}()
	sleep.For(ctx, bulkLead)
	urgent = together(ctx, t.Duration, urgentTraffic(t, callers))
	return urgent, <-done
}

func (r *Report) urgencyFigures(t *Trial, prefix string, idle, loaded map[string]*tally) {
	for _, kind := range []string{"generation", "call"} {
		parts := map[string][2]*distribution{"whole": {idle[kind].whole, loaded[kind].whole}}
		if kind == "generation" {
			parts["first token"] = [2]*distribution{idle[kind].first, loaded[kind].first}
		}
		for _, part := range []string{"first token", "whole"} {
			if pair, ok := parts[part]; ok {
				t.urgency(prefix, kind+" "+part, pair[0], pair[1])
			}
		}
		t.figure(prefix+"urgent "+kind+" complete under bulk", "share", loaded[kind].share())
	}
}

func (t *Trial) urgency(prefix, name string, idle, loaded *distribution) {
	t.latencies(prefix+"urgent "+name+" idle", idle)
	t.latencies(prefix+"urgent "+name+" under bulk", loaded)
	ratio := loaded.quantile(99) / max(idle.quantile(99), 1e-6)
	if prefix != "" {
		t.figure(prefix+"urgent "+name+" p99 ratio", "ratio", ratio)
		return
	}
	t.limited("urgent "+name+" p99 ratio", "ratio", ratio, atMost(wantedUrgentness))
}

// drain waits until no engine has work, so that phases do not disturb each other.
func (s *scene) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainWait)
	defer cancel()
	for _, e := range s.Engines {
		if err := e.AwaitActive(ctx, 0); err != nil {
			return errors.Wrapf(err, "%s still has %d requests in hand", e.Name(), e.Active())
		}
	}
	for _, service := range s.Services {
		if err := service.AwaitIdle(ctx); err != nil {
			return errors.Wrapf(err, "%s still has calls in hand", service.Target().Name)
		}
	}
	return nil
}
