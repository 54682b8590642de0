package experiment

import (
	"context"
	"time"

	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
)

const (
	slowdownFactor      = 10.0
	slowDraftsPerSecond = 20.0
	slowCallsPerSecond  = 60.0
	slowTokens          = 20
	detectionTime       = 3 * time.Second
)

// slow makes one engine and one instance of the service ten times slower than the others,
// without any other failure, and compares the latency for callers with that before. The
// measurement starts detectionTime after the change.
func slow(ctx context.Context, t *Trial) error {
	return measureWithBaseline(ctx, t, newRecoverySystem, (*system).slowPhases)
}

func (s *system) slowPhases(ctx context.Context, t *Trial, prefix string, callers []callclient.Client) error {
	healthy := runConcurrently(ctx, t.Duration, slowTraffic(t, callers))
	s.setSlowdown(slowdownFactor)
	runConcurrently(ctx, detectionTime, slowTraffic(t, callers))
	oneSlow := runConcurrently(ctx, t.Duration, slowTraffic(t, callers))
	s.setSlowdown(1)
	for _, kind := range []string{"draft", "call"} {
		t.figure(prefix+kind+", whole, all healthy p50", "ms", healthy[kind].whole.percentile(50))
		t.figure(prefix+kind+", whole, one target slow p50", "ms", oneSlow[kind].whole.percentile(50))
		t.figure(prefix+kind+", whole, p99 ratio", "ratio", oneSlow[kind].whole.percentile(99)/healthy[kind].whole.percentile(99))
		t.figure(prefix+kind+", complete with one target slow", "share", oneSlow[kind].share())
	}
	return s.awaitIdle(ctx)
}

func slowTraffic(t *Trial, callers []callclient.Client) map[string]traffic {
	return map[string]traffic{
		"draft": {callers: callers, profile: "summary", perSecond: slowDraftsPerSecond, tokens: slowTokens, seed: t.Seed},
		"call":  {callers: callers, profile: "lockout", perSecond: slowCallsPerSecond, seed: t.Seed + 1},
	}
}

// setSlowdown sets the slowdown factor of one engine and one instance; 1 is full speed.
func (s *system) setSlowdown(factor float64) {
	s.Engines[engineName(0, 0)].SetFaults(func(f *enginesim.Faults) { f.Slowdown = factor })
	s.Services["permits-0"].SetFaults(func(f *servicesim.Faults) { f.Slowdown = factor })
}
