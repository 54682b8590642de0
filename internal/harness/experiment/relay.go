package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/sleep"
)

const (
	relayStreams      = 300
	relayLatency      = 20 * time.Millisecond
	relayWarmUp       = time.Second
	relaySlots        = 4096
	relayLayers       = 8
	relayLayerRate    = 4e6
	minRelayedPerCore = 20_000.0
	endlessTokens     = 1 << 12
	streamLatency     = time.Second
	openStreams       = 1500
	maxOpening        = 64
	maxStreamKiB      = 64.0
	bytesInKiB        = 1024.0
	gcRuns            = 2
)

// relay measures the cost of a stream for the router: processor time per token, and memory
// while it is open.
func relay(ctx context.Context, t *Trial) error {
	if err := measureRelayedTokens(ctx, t); err != nil {
		return err
	}
	return measureStreamMemory(ctx, t)
}

// newRelaySystem returns a system of one router and one engine, which takes latency for each
// token and hardly any processor time. The goroutines of each part have its label.
func newRelaySystem(ctx context.Context, latency time.Duration) (s *system, err error) {
	err = withPart(ctx, partRouter, func(ctx context.Context) error {
		s, err = newSystem(ctx, 1, nil)
		return err
	})
	if err != nil {
		return nil, err
	}
	model := &config.Model{Name: modelName, Layers: relayLayers, Versions: []string{modelVersion}}
	if err := s.applyModel(ctx, model); err != nil {
		return s.orClose(err)
	}
	err = withPart(ctx, partStandIn, func(ctx context.Context) error {
		_, err := s.AddEngine(ctx, enginesim.Options{
			Name: "engine", Model: model, Version: modelVersion, Layers: config.LayerRange{From: 0, To: relayLayers},
			Slots: relaySlots, LayerTokensPerSecond: relayLayerRate, TokenLatency: latency,
		}, "dc-0", "a100")
		return err
	})
	if err != nil {
		return s.orClose(err)
	}
	return s.orClose(s.applyProfiles(ctx, generationProfile("draft", config.Normal, 10*time.Minute)))
}

// measureRelayedTokens measures the processor time of the router per token.
func measureRelayedTokens(ctx context.Context, t *Trial) error {
	s, err := newRelaySystem(ctx, relayLatency)
	if err != nil {
		return err
	}
	defer s.close()
	streams, stop := context.WithCancel(ctx)
	defer stop()
	var got counter
	var running sync.WaitGroup
	_ = withPart(streams, partCaller, func(ctx context.Context) error {
		for i := range relayStreams {
			running.Go(func() {
				_, _ = s.client(0).Generate(ctx, "draft", promptOf("draft", i), endlessTokens, func(int) { got.Add(1) }) // ends by stop
			})
		}
		return nil
	})
	sleep.For(ctx, relayWarmUp)
	before := got.Load()
	started := time.Now()
	parts, err := cpuByPart(func() { sleep.For(ctx, t.Duration) })
	relayed := float64(got.Load() - before)
	if relayed == 0 {
		return errors.New("no token was relayed")
	}
	t.reportRelay(parts, relayed, time.Since(started))
	stop()
	running.Wait()
	return err
}

// reportRelay adds the figures. Time without a label is mostly that of the garbage
// collector. The router is charged with it in proportion to its share of the labelled
// time.
func (t *Trial) reportRelay(parts map[string]time.Duration, relayed float64, took time.Duration) {
	labelled := parts[partRouter] + parts[partStandIn] + parts[partCaller]
	router := parts[partRouter].Seconds()
	share := router / labelled.Seconds()
	router += share * parts[""].Seconds()
	t.figure("tokens relayed", "tokens/s", relayed/took.Seconds())
	t.figure("processor time of the router", "us/token", router/relayed*1e6)
	t.figure("router's part of labelled processor time", "share", share)
	t.figure("processor time without a label", "share", parts[""].Seconds()/(labelled+parts[""]).Seconds())
	t.limited("tokens relayed a core of the router", "tokens/s", relayed/router, atLeast(minRelayedPerCore))
	t.note("relay: %d streams in one process with callers and the engine; a CPU profile with labels tells the router's goroutines apart; time without a label is divided in proportion", relayStreams)
}
