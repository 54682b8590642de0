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
	relayStreams     = 300
	relayLatency     = 20 * time.Millisecond
	relayLead        = time.Second
	relaySlots       = 4096
	relayLayers      = 8
	relayRate        = 4e6
	wantedRelayed    = 20_000.0
	endlessTokens    = 1 << 12
	heldLatency      = time.Second
	heldStreams      = 1500
	heldOpeners      = 64
	wantedStreamKiB  = 64.0
	bytesInKiB       = 1024.0
	collectionsToRun = 2
)

// relay measures what a stream costs the router: processor time a token, and
// memory while it is in hand.
func relay(ctx context.Context, t *Trial) error {
	if err := relayedTokens(ctx, t); err != nil {
		return err
	}
	return heldMemory(ctx, t)
}

// relayScene is one router before one engine that does nothing but wait. Each
// part's goroutines carry its label.
func relayScene(ctx context.Context, latency time.Duration) (s *scene, err error) {
	err = asPart(ctx, partRouter, func(ctx context.Context) error {
		s, err = newScene(ctx, 1, nil)
		return err
	})
	if err != nil {
		return nil, err
	}
	model := &config.Model{Name: modelName, Layers: relayLayers, Versions: []string{modelVersion}}
	if err := s.applyModel(ctx, model); err != nil {
		return s, err
	}
	err = asPart(ctx, partStandIn, func(ctx context.Context) error {
		_, err := s.AddEngine(ctx, enginesim.Options{
			Name: "engine", Model: model, Version: modelVersion, Layers: config.LayerRange{From: 0, To: relayLayers},
			Slots: relaySlots, LayerTokensPerSecond: relayRate, TokenLatency: latency,
		}, "dc-0", "a100")
		return err
	})
	if err != nil {
		return s, err
	}
	return s, s.applyProfiles(ctx, generationProfile("draft", config.Normal, 10*time.Minute))
}

func relayedTokens(ctx context.Context, t *Trial) error {
	s, err := relayScene(ctx, relayLatency)
	if err != nil {
		return err
	}
	defer s.close()
	streams, stop := context.WithCancel(ctx)
	defer stop()
	var got counter
	var wait sync.WaitGroup
	_ = asPart(streams, partCaller, func(ctx context.Context) error {
		for i := range relayStreams {
			wait.Go(func() {
				_, _ = s.client(0).Generate(ctx, "draft", promptOf("draft", i), endlessTokens, func(int) { got.Add(1) }) // ends by stop
			})
		}
		return nil
	})
	sleep.For(ctx, relayLead)
	before := got.Load()
	started := time.Now()
	parts, err := cpuByPart(func() { sleep.For(ctx, t.Duration) })
	relayed := float64(got.Load() - before)
	if relayed == 0 {
		return errors.New("no token was relayed")
	}
	t.reportRelay(parts, relayed, time.Since(started))
	stop()
	wait.Wait()
	return err
}

// reportRelay gives the router its part of what has no label, which is mostly the
// garbage collector, in proportion to its labelled part.
func (t *Trial) reportRelay(parts map[string]time.Duration, relayed float64, took time.Duration) {
	labelled := parts[partRouter] + parts[partStandIn] + parts[partCaller]
	router := parts[partRouter].Seconds()
	share := router / labelled.Seconds()
	router += share * parts[""].Seconds()
	t.figure("tokens relayed", "tokens/s", relayed/took.Seconds())
	t.figure("processor time of the router", "us/token", router/relayed*1e6)
	t.figure("router's part of labelled processor time", "share", share)
	t.figure("processor time without a label", "share", parts[""].Seconds()/(labelled+parts[""]).Seconds())
	t.limited("tokens relayed a core of the router", "tokens/s", relayed/router, atLeast(wantedRelayed))
	t.note("relay: %d streams in one process with callers and the engine; a CPU profile with labels tells the router's goroutines apart; time without a label is divided in proportion", relayStreams)
}
