package experiment

import (
	"context"
	"fmt"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
)

const (
	overheadPerSecond = 200.0
	overheadSlots     = 64
	overheadLayerRate = 4e6
	maxAddedP99MS     = 1.0
	warmUpRequests    = 50
)

// overhead sends requests to a stand-in alternately through a router and directly. Both
// callers use net/http with persistent connections. It compares the time to the first
// token, and the time to the end of a plain service's response.
func overhead(ctx context.Context, t *Trial) error {
	s, err := newOverheadSystem(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	paths := overheadPaths(s)
	for _, path := range paths {
		for i := range warmUpRequests {
			if _, err := path.send(ctx, -i-1); err != nil {
				return err
			}
		}
	}
	failed := s.compare(ctx, t, paths)
	t.limited("failed requests", "", float64(failed), atMost(0))
	reportOverhead(t, paths)
	s.reportViolations(t)
	return nil
}

func newOverheadSystem(ctx context.Context) (*system, error) {
	s, err := newSystem(ctx, 1, nil)
	if err != nil {
		return nil, err
	}
	model := &config.Model{Name: modelName, Layers: 8, Versions: []string{modelVersion}, ActivationBytes: 16 << 10}
	if err := s.applyModel(ctx, model); err != nil {
		return s.orClose(err)
	}
	_, err = s.AddEngine(ctx, enginesim.Options{
		Name: "engine", Model: model, Version: modelVersion, Layers: config.LayerRange{From: 0, To: model.Layers},
		Slots: overheadSlots, LayerTokensPerSecond: overheadLayerRate,
	}, "dc-0", "a100")
	if err != nil {
		return s.orClose(err)
	}
	if _, err := s.AddService(ctx, servicesim.Options{Name: "permits-0", Service: serviceName, Slots: overheadSlots}, "dc-0"); err != nil {
		return s.orClose(err)
	}
	return s.orClose(s.applyProfiles(ctx, generationProfile("draft", config.Normal, time.Minute), callProfile("lockout", config.Urgent, false, time.Minute)))
}

// callPath is one path to a stand-in, with the times of its requests.
type callPath struct {
	name  string
	send  func(ctx context.Context, number int) (time.Duration, error)
	times *distribution
}

func overheadPaths(s *system) []*callPath {
	client := s.client(0)
	directCaller := direct{http: s.http}
	hop := engine.Hop{Target: "engine", Address: s.Engines["engine"].Addr(), Layers: config.LayerRange{From: 0, To: 8}}
	body := []byte(`{"bay":7}`)
	return []*callPath{
		{"first token, routed", func(ctx context.Context, number int) (time.Duration, error) {
			answer, err := client.Generate(ctx, "draft", fmt.Sprintf("bay %d", number), 4, nil)
			return answer.FirstToken, requireComplete(err, answer)
		}, newDistribution()},
		{"first token, direct", func(ctx context.Context, number int) (time.Duration, error) {
			return directCaller.draft(ctx, hop, fmt.Sprintf("direct-%d", number), 4)
		}, newDistribution()},
		{"call, routed", func(ctx context.Context, _ int) (time.Duration, error) {
			answer, err := client.Call(ctx, "lockout", "", body)
			return answer.Took, requireComplete(err, answer)
		}, newDistribution()},
		{"call, direct", func(ctx context.Context, number int) (time.Duration, error) {
			return directCaller.call(ctx, s.Services["permits-0"].Addr(), fmt.Sprintf("direct-%d", number), body)
		}, newDistribution()},
	}
}

// compare uses the paths in turn, so that all are exposed to the same noise. It returns the
// number of failed requests.
func (s *system) compare(ctx context.Context, t *Trial, paths []*callPath) (failed int64) {
	failures := counter{}
	arrivals{perSecond: overheadPerSecond * float64(len(paths)), duration: t.Duration, seed: t.Seed}.run(ctx, func(number int, _ time.Time) {
		path := paths[number%len(paths)]
		took, err := path.send(ctx, number)
		if err != nil {
			failures.Add(1)
			return
		}
		path.times.add(took)
	})
	return failures.Load()
}

// reportOverhead adds the figures. The paths come in pairs: routed, then direct.
func reportOverhead(t *Trial, paths []*callPath) {
	for _, path := range paths {
		t.latencies(path.name, path.times)
	}
	for i := 0; i < len(paths); i += 2 {
		routed, direct := paths[i].times, paths[i+1].times
		kind := paths[i].name[:len(paths[i].name)-len(", routed")]
		t.figure(kind+", added p50", "ms", routed.percentile(50)-direct.percentile(50))
		t.figure(kind+", p99 ratio", "ratio", routed.percentile(99)/direct.percentile(99))
		t.limited(kind+", added p99", "ms", routed.percentile(99)-direct.percentile(99), atMost(maxAddedP99MS))
	}
	t.note("overhead: %.0f requests/s in each of four ways by turns; first token of a single-stage generation and whole answer of a call that takes no time", overheadPerSecond)
}
