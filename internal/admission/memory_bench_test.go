package admission

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"geraniumcroft/internal/invariant"
)

// BenchmarkQueuedMemory measures the memory of a queued request, including the stack of
// its goroutine.
func BenchmarkQueuedMemory(b *testing.B) {
	for b.Loop() {
		before := heapAndStacks()
		c := New(Settings{}, invariant.Strict())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{}, DefaultMaxQueued)
		for i := range DefaultMaxQueued {
			go func() {
				r := &Request{Workspace: fmt.Sprint("workspace", i), Pool: testPool, Cost: 355}
				_ = c.Admit(ctx, r, func() bool { return false })
				ended <- struct{}{}
			}()
		}
		for c.Dump().(Dump).Pools[testPool].Queued < DefaultMaxQueued {
			runtime.Gosched()
		}
		b.ReportMetric(float64(heapAndStacks()-before)/DefaultMaxQueued, "bytes/request")
		cancel()
		for range DefaultMaxQueued {
			<-ended
		}
	}
}

// heapAndStacks returns the bytes of live heap objects and stacks after a collection.
func heapAndStacks() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
