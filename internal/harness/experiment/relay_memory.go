package experiment

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

// heldMemory holds the same streams once directly and once through the router, in
// one process; what they differ by is the router's.
func heldMemory(ctx context.Context, t *Trial) error {
	s, err := relayScene(ctx, heldLatency)
	if err != nil {
		return err
	}
	defer s.close()
	hop := engine.Hop{Target: "engine", Address: s.Engines["engine"].Addr(), Layers: config.LayerRange{From: 0, To: relayLayers}}
	caller := direct{http: s.http}
	straight, err := s.held(ctx, func(ctx context.Context, number int, first func()) {
		_ = caller.hold(ctx, hop, fmt.Sprintf("held-%d", number), first) // ends with ctx
	})
	if err != nil {
		return err
	}
	routed, err := s.held(ctx, func(ctx context.Context, number int, first func()) {
		_, _ = s.client(0).Generate(ctx, "draft", promptOf("draft", number), endlessTokens, func(token int) { // ends with ctx
			if token == 0 {
				first()
			}
		})
	})
	if err != nil {
		return err
	}
	t.figure("memory of a stream held directly", "KiB", straight)
	t.figure("memory of a stream held through the router", "KiB", routed)
	t.limited("memory of a stream in hand at the router", "KiB", routed-straight, atMost(wantedStreamKiB))
	t.note("memory: live heap and stacks after a collection, %d streams of a caller, the engine and, but for the direct ones, the router in one process; kernel buffers are not in it", heldStreams)
	return nil
}

// held returns the KiB of live heap and stacks that each stream takes.
func (s *scene) held(ctx context.Context, hold func(ctx context.Context, number int, first func())) (float64, error) {
	before := liveBytes()
	streams, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer stop()
	opening := semaphore.NewWeighted(heldOpeners)
	var open atomic.Int64
	for number := range heldStreams {
		if err := opening.Acquire(ctx, 1); err != nil {
			return 0, err
		}
		wait.Go(func() {
			var tokenCame, released sync.Once
			release := func() { released.Do(func() { opening.Release(1) }) }
			defer release()
			hold(streams, number, func() {
				tokenCame.Do(func() { open.Add(1) })
				release()
			})
		})
	}
	if err := opening.Acquire(ctx, heldOpeners); err != nil {
		return 0, err
	}
	if open.Load() != heldStreams {
		return 0, fmt.Errorf("only %d of %d streams were opened", open.Load(), heldStreams)
	}
	took := liveBytes() - before
	stop()
	wait.Wait()
	return took / heldStreams / bytesInKiB, s.drain(ctx)
}

func liveBytes() float64 {
	for range collectionsToRun {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
