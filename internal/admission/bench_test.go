package admission

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

// bulkArrivals is the number of goroutines that submit bulk requests in a loop.
const bulkArrivals = 64

// BenchmarkUrgentAmongBulk measures the time to admit an urgent request while many bulk
// requests arrive and are refused, with and without the gates that keep bulk requests
// from queueing for the lock of the pool.
func BenchmarkUrgentAmongBulk(b *testing.B) {
	for name, f := range map[string]faults{"gates": {}, "no-gates": {noGates: true}} {
		b.Run(name, func(b *testing.B) {
			c := New(Settings{MaxQueued: 1, faults: f}, invariant.Strict())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var refused atomic.Uint64
			for range bulkArrivals {
				go func() {
					for ctx.Err() == nil {
						_ = c.Admit(ctx, &Request{Pool: testPool, Workspace: "bulk"}, func() bool { return false })
						refused.Add(1)
					}
				}()
			}
			var took []time.Duration
			for b.Loop() {
				began := time.Now()
				_ = c.Admit(ctx, &Request{Pool: testPool, Workspace: "urgent", Urgency: config.Urgent}, func() bool { return true })
				took = append(took, time.Since(began))
				time.Sleep(100 * time.Microsecond)
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2]), "median-ns")
			b.ReportMetric(float64(took[len(took)*99/100]), "p99-ns")
			b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/op")
		})
	}
}
