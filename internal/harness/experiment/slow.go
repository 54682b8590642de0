package experiment

import (
	"context"
	"time"

	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
)

const (
	slowdown       = 10.0
	slowDrafts     = 20.0
	slowCalls      = 60.0
	slowTokens     = 20
	noticeSlowness = 3 * time.Second
)

// slow makes one engine and one instance of the service ten times slower than the
// others, which go on answering, and compares what callers wait with what they
// waited before. Figures count from a moment after the change.
func slow(ctx context.Context, t *Trial) error {
	return measureBoth(ctx, t, recoveryScene, (*scene).slowedPhases)
}

func (s *scene) slowedPhases(ctx context.Context, t *Trial, prefix string, callers []callclient.Client) error {
	healthy := together(ctx, t.Duration, slowTraffic(t, callers))
	s.slowDown(slowdown)
	together(ctx, noticeSlowness, slowTraffic(t, callers))
	slowed := together(ctx, t.Duration, slowTraffic(t, callers))
	s.slowDown(1)
	for _, kind := range []string{"draft", "call"} {
		t.figure(prefix+kind+", whole, all healthy p50", "ms", healthy[kind].whole.quantile(50))
		t.figure(prefix+kind+", whole, one target slow p50", "ms", slowed[kind].whole.quantile(50))
		t.figure(prefix+kind+", whole, p99 ratio", "ratio", slowed[kind].whole.quantile(99)/healthy[kind].whole.quantile(99))
		t.figure(prefix+kind+", complete with one target slow", "share", slowed[kind].share())
	}
	return s.drain(ctx)
}

func slowTraffic(t *Trial, callers []callclient.Client) map[string]traffic {
	return map[string]traffic{
		"draft": {callers: callers, profile: "summary", perSecond: slowDrafts, tokens: slowTokens, seed: t.Seed},
		"call":  {callers: callers, profile: "lockout", perSecond: slowCalls, seed: t.Seed + 1},
	}
}

func (s *scene) slowDown(factor float64) {
	s.Engines[engineName(0, 0)].SetFaults(func(f *enginesim.Faults) { f.Slowdown = factor })
	s.Services["permits-0"].SetFaults(func(f *servicesim.Faults) { f.Slowdown = factor })
}
