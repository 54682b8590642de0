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

// measureStreamMemory opens the same streams once directly and once through the router, in
// one process. The difference is the memory of the router.
func measureStreamMemory(ctx context.Context, t *Trial) error {
	s, err := newRelaySystem(ctx, streamLatency)
	if err != nil {
		return err
	}
	defer s.close()
	hop := engine.Hop{Target: "engine", Address: s.Engines["engine"].Addr(), Layers: config.LayerRange{From: 0, To: relayLayers}}
	caller := direct{http: s.http}
	directKiB, err := s.memoryPerStream(ctx, func(ctx context.Context, number int, first func()) {
		_ = caller.holdStream(ctx, hop, fmt.Sprintf("held-%d", number), first) // ends with ctx
	})
	if err != nil {
		return err
	}
	routedKiB, err := s.memoryPerStream(ctx, func(ctx context.Context, number int, first func()) {
		_, _ = s.client(0).Generate(ctx, "draft", promptOf("draft", number), endlessTokens, func(token int) { // ends with ctx
			if token == 0 {
				first()
			}
		})
	})
	if err != nil {
		return err
	}
	t.figure("memory of a stream held directly", "KiB", directKiB)
	t.figure("memory of a stream held through the router", "KiB", routedKiB)
	t.limited("memory of a stream in hand at the router", "KiB", routedKiB-directKiB, atMost(maxStreamKiB))
	t.note("memory: live heap and stacks after a collection, %d streams of a caller, the engine and, but for the direct ones, the router in one process; kernel buffers are not in it", openStreams)
	return nil
}

// memoryPerStream opens streams and returns the KiB of live heap and stacks per stream.
func (s *system) memoryPerStream(ctx context.Context, holdStream func(ctx context.Context, number int, first func())) (float64, error) {
	before := liveBytes()
	streams, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	opening := semaphore.NewWeighted(maxOpening)
	var open atomic.Int64
	for number := range openStreams {
		if err := opening.Acquire(ctx, 1); err != nil {
			return 0, err
		}
		running.Go(func() {
			var firstToken, released sync.Once
			release := func() { released.Do(func() { opening.Release(1) }) }
			defer release()
			holdStream(streams, number, func() {
				firstToken.Do(func() { open.Add(1) })
				release()
			})
		})
	}
	if err := opening.Acquire(ctx, maxOpening); err != nil {
		return 0, err
	}
	if open.Load() != openStreams {
		return 0, fmt.Errorf("only %d of %d streams were opened", open.Load(), openStreams)
	}
	took := liveBytes() - before
	stop()
	running.Wait()
	return took / openStreams / bytesInKiB, s.awaitIdle(ctx)
}

// liveBytes returns the bytes of heap and stacks in use after a garbage collection.
func liveBytes() float64 {
	for range gcRuns {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
