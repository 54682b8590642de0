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
	overloadFactor        = 2.0
	urgentDraftsPerSecond = 12.0
	urgentCallsPerSecond  = 40.0
	urgentTokens          = 10
	bulkTokens            = 60
	bulkWarmUp            = 2 * time.Second
	idleTimeout           = 30 * time.Second
	maxUrgentRatio        = 1.2
)

// urgentPool is sized so that the engines' own queues stay short when all slots are in use.
// The waiting time of urgent requests then depends on the router.
var urgentPool = pool{
	layers: 16, copies: 4, slots: 8, layerRate: 4800, tokenLatency: 10 * time.Millisecond,
	instances: 2, serviceSlots: 8, serviceTime: 40 * time.Millisecond,
}

// urgent compares urgent requests during a bulk load of twice the capacity with the same
// requests on an idle system, for the product and for the baseline.
func urgent(ctx context.Context, t *Trial) error {
	return measureWithBaseline(ctx, t, newUrgentSystem, (*system).urgentPhases)
}

func newUrgentSystem(ctx context.Context) (*system, error) {
	s, err := newSystem(ctx, 2, nil)
	if err != nil {
		return nil, err
	}
	if err := s.addPool(ctx, urgentPool); err != nil {
		return s.orClose(err)
	}
	return s.orClose(s.applyProfiles(ctx,
		generationProfile("permit-check", config.Urgent, 10*time.Second), generationProfile("summary", config.Bulk, 20*time.Second),
		callProfile("lockout", config.Urgent, false, 5*time.Second), callProfile("report", config.Bulk, true, 5*time.Second)))
}

func (s *system) urgentPhases(ctx context.Context, t *Trial, prefix string, callers []callclient.Client) error {
	idle := runConcurrently(ctx, t.Duration, urgentTraffic(t, callers))
	loaded, bulk := runUnderBulk(ctx, t, callers)
	t.report.addUrgentFigures(t, prefix, idle, loaded)
	t.figure(prefix+"bulk tokens/s of capacity", "ratio", bulk["summary"].tokensPerSecond()/urgentPool.tokensPerSecond())
	for _, name := range []string{"summary", "report"} {
		t.figure(prefix+"bulk "+name+" complete", "share", bulk[name].share())
		t.figure(prefix+"bulk "+name+" neither complete nor not-run", "", float64(bulk[name].unknown+bulk[name].noOutcome))
	}
	return s.awaitIdle(ctx)
}

func urgentTraffic(t *Trial, callers []callclient.Client) map[string]traffic {
	return map[string]traffic{
		"generation": {callers: callers, profile: "permit-check", perSecond: urgentDraftsPerSecond, tokens: urgentTokens, seed: t.Seed},
		"call":       {callers: callers, profile: "lockout", perSecond: urgentCallsPerSecond, seed: t.Seed + 1},
	}
}

// runUnderBulk starts the bulk requests first, so that all slots are in use when the urgent
// requests start.
func runUnderBulk(ctx context.Context, t *Trial, callers []callclient.Client) (urgent, bulk map[string]*trafficStats) {
	done := make(chan map[string]*trafficStats, 1)
	go func() {
		done <- runConcurrently(ctx, t.Duration+bulkWarmUp, map[string]traffic{
			"summary": {callers: callers, profile: "summary", perSecond: overloadFactor * urgentPool.tokensPerSecond() / bulkTokens, tokens: bulkTokens, seed: t.Seed + 2},
			"report":  {callers: callers, profile: "report", perSecond: overloadFactor * urgentPool.callsPerSecond(), seed: t.Seed + 3},
		})
	}()
	sleep.For(ctx, bulkWarmUp)
	urgent = runConcurrently(ctx, t.Duration, urgentTraffic(t, callers))
	return urgent, <-done
}

// addUrgentFigures adds the figures of the urgent requests on an idle and on a loaded
// system.
func (r *Report) addUrgentFigures(t *Trial, prefix string, idle, loaded map[string]*trafficStats) {
	for _, kind := range []string{"generation", "call"} {
		parts := map[string][2]*distribution{"whole": {idle[kind].whole, loaded[kind].whole}}
		if kind == "generation" {
			parts["first token"] = [2]*distribution{idle[kind].first, loaded[kind].first}
		}
		for _, part := range []string{"first token", "whole"} {
			if pair, ok := parts[part]; ok {
				t.addUrgentFigure(prefix, kind+" "+part, pair[0], pair[1])
			}
		}
		t.figure(prefix+"urgent "+kind+" complete under bulk", "share", loaded[kind].share())
	}
}

// addUrgentFigure adds the latencies on an idle and on a loaded system and the ratio of
// their 99th percentiles. The ratio has a limit for the product, not for the baseline.
func (t *Trial) addUrgentFigure(prefix, name string, idle, loaded *distribution) {
	t.latencies(prefix+"urgent "+name+" idle", idle)
	t.latencies(prefix+"urgent "+name+" under bulk", loaded)
	ratio := loaded.percentile(99) / max(idle.percentile(99), 1e-6)
	if prefix != "" {
		t.figure(prefix+"urgent "+name+" p99 ratio", "ratio", ratio)
		return
	}
	t.limited("urgent "+name+" p99 ratio", "ratio", ratio, atMost(maxUrgentRatio))
}

// awaitIdle waits until all engines and instances are idle, so that phases do not influence
// each other.
func (s *system) awaitIdle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
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
