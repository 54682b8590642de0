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
	overheadRate  = 200.0
	overheadSlots = 64
	overheadRates = 4e6
	wantedAddedMS = 1.0
	warmUp        = 50
)

// overhead calls a stand-in by turns through a router and directly. Both callers
// are net/http with kept connections; what is compared is the time to the first
// token, and to a plain service's whole answer.
func overhead(ctx context.Context, t *Trial) error {
	s, err := overheadScene(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	ways := overheadWays(s)
	for _, w := range ways {
		for i := range warmUp {
			if _, err := w.one(ctx, -i-1); err != nil {
				return err
			}
		}
	}
	failed := s.compare(ctx, t, ways)
	t.limited("failed requests", "", float64(failed), atMost(0))
	reportOverhead(t, ways)
	s.finish(t)
	return nil
}

func overheadScene(ctx context.Context) (*scene, error) {
	s, err := newScene(ctx, 1, nil)
	if err != nil {
		return nil, err
	}
	model := &config.Model{Name: modelName, Layers: 8, Versions: []string{modelVersion}, ActivationBytes: 16 << 10}
	if err := s.applyModel(ctx, model); err != nil {
		return s, err
	}
	_, err = s.AddEngine(ctx, enginesim.Options{
		Name: "engine", Model: model, Version: modelVersion, Layers: config.LayerRange{From: 0, To: model.Layers},
		Slots: overheadSlots, LayerTokensPerSecond: overheadRates,
	}, "dc-0", "a100")
	if err != nil {
		return s, err
	}
	if _, err := s.AddService(ctx, servicesim.Options{Name: "permits-0", Service: serviceName, Slots: overheadSlots}, "dc-0"); err != nil {
		return s, err
	}
	return s, s.applyProfiles(ctx, generationProfile("draft", config.Normal, time.Minute), callProfile("lockout", config.Urgent, false, time.Minute))
}

// way is one way to the same stand-in.
type way struct {
	name  string
	one   func(ctx context.Context, number int) (time.Duration, error)
	times *distribution
}

func overheadWays(s *scene) []*way {
	client := s.client(0)
	directCaller := direct{http: s.http}
	hop := engine.Hop{Target: "engine", Address: s.Engines["engine"].Addr(), Layers: config.LayerRange{From: 0, To: 8}}
	body := []byte(`{"bay":7}`)
	return []*way{
		{"first token, routed", func(ctx context.Context, number int) (time.Duration, error) {
			answer, err := client.Generate(ctx, "draft", fmt.Sprintf("bay %d", number), 4, nil)
			return answer.FirstToken, orIncomplete(err, answer)
		}, newDistribution()},
		{"first token, direct", func(ctx context.Context, number int) (time.Duration, error) {
			return directCaller.draft(ctx, hop, fmt.Sprintf("direct-%d", number), 4)
		}, newDistribution()},
		{"call, routed", func(ctx context.Context, _ int) (time.Duration, error) {
			answer, err := client.Call(ctx, "lockout", "", body)
			return answer.Took, orIncomplete(err, answer)
		}, newDistribution()},
		{"call, direct", func(ctx context.Context, number int) (time.Duration, error) {
			return directCaller.call(ctx, s.Services["permits-0"].Addr(), fmt.Sprintf("direct-%d", number), body)
		}, newDistribution()},
	}
}

// compare takes the ways by turns, so that each meets the same noise.
func (s *scene) compare(ctx context.Context, t *Trial, ways []*way) (failed int64) {
	failures := counter{}
	arrivals{perSecond: overheadRate * float64(len(ways)), duration: t.Duration, seed: t.Seed}.run(ctx, func(number int, _ time.Time) {
		w := ways[number%len(ways)]
		took, err := w.one(ctx, number)
		if err != nil {
			failures.Add(1)
			return
		}
		w.times.add(took)
	})
	return failures.Load()
}

func reportOverhead(t *Trial, ways []*way) {
	for _, w := range ways {
		t.latencies(w.name, w.times)
	}
	for i := 0; i < len(ways); i += 2 {
		routed, direct := ways[i].times, ways[i+1].times
		kind := ways[i].name[:len(ways[i].name)-len(", routed")]
		t.figure(kind+", added p50", "ms", routed.quantile(50)-direct.quantile(50))
		t.figure(kind+", p99 ratio", "ratio", routed.quantile(99)/direct.quantile(99))
		t.limited(kind+", added p99", "ms", routed.quantile(99)-direct.quantile(99), atMost(wantedAddedMS))
	}
	t.note("overhead: %.0f requests/s in each of four ways by turns; first token of a single-stage generation and whole answer of a call that takes no time", overheadRate)
}
