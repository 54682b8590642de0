package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/resilient"
)

const (
	benchCommitLatency   = 2 * time.Millisecond
	benchWritesPerSecond = 300
	benchWriteBurst      = 10
)

// limitedTable is a table with the latency and the rate limit of the platform. A
// transaction counts as one write. Writes above the rate wait.
type limitedTable struct {
	*platformsim.Store
	rate *rate.Limiter
}

// newLimitedTable returns an empty table.
func newLimitedTable() *limitedTable {
	return &limitedTable{
		Store: platformsim.NewStore(),
		rate:  rate.NewLimiter(benchWritesPerSecond, benchWriteBurst),
	}
}

// Commit implements platform.Table.
func (l *limitedTable) Commit(ctx context.Context, txn platform.Txn) error {
	if err := l.rate.Wait(ctx); err != nil {
		return &platform.UnavailableError{Operation: "commit", Cause: err}
	}
	time.Sleep(benchCommitLatency)
	return l.Store.Commit(ctx, txn)
}

// BenchmarkClaims compares single with grouped writes on six VMs that share a table. An
// open loop generates keyed requests at a fixed rate, each with a claim and an end. The
// latency is that of the claim, measured from the request's intended arrival. With
// budget=true the clients limit the fleet to a third of the table's rate, as in
// production.
func BenchmarkClaims(b *testing.B) {
	variants := []struct {
		name     string
		settings Settings
	}{
		{"single", Settings{Ungrouped: true}},
		{"group-0ms-1", Settings{MaxInFlight: 1}},
		{"group-0ms-2", Settings{}},
		{"group-0ms-4", Settings{MaxInFlight: 4}},
		{"group-2ms-2", Settings{Linger: 2 * time.Millisecond}},
		{"group-10ms-2", Settings{Linger: 10 * time.Millisecond}},
	}
	for _, budget := range []bool{false, true} {
		for _, perSecond := range []int{20, 100, 400, 1600} {
			for _, variant := range variants {
				name := fmt.Sprintf("budget=%t/rate=%d/%s", budget, perSecond, variant.name)
				run := benchRun{vms: 6, settings: variant.settings, perSecond: perSecond, budget: budget}
				b.Run(name, run.measure)
			}
		}
	}
}

// BenchmarkClaimsOfLargeFleet measures which rates an even division of the budget among
// 320 VMs sustains.
func BenchmarkClaimsOfLargeFleet(b *testing.B) {
	for _, perSecond := range []int{20, 100, 400} {
		run := benchRun{vms: 320, perSecond: perSecond, budget: true}
		b.Run(fmt.Sprintf("rate=%d", perSecond), run.measure)
	}
}

// benchRun is one case of the benchmarks.
type benchRun struct {
	vms       int
	settings  Settings
	perSecond int
	budget    bool
}

// measure runs b.N requests at the case's rate and reports the metrics.
func (r benchRun) measure(b *testing.B) {
	table := newLimitedTable()
	vms := r.fleet(b, table)
	random := rand.New(rand.NewPCG(1, 2))
	var (
		wait    sync.WaitGroup
		mu      sync.Mutex
		won     []time.Duration
		refused int
	)
	began := time.Now()
	arrival := began
	for n := range b.N {
		arrival = arrival.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(r.perSecond)))
		intended := arrival
		wait.Go(func() {
			time.Sleep(time.Until(intended))
			run, decided := claimAndFinish(vms[n%r.vms], n)
			mu.Lock()
			defer mu.Unlock()
			if !run {
				refused++
				return
			}
			won = append(won, decided.Sub(intended))
		})
	}
	wait.Wait()
	elapsed := time.Since(began)
	commits, _ := table.Counts()
	report(b, won, refused, commits, elapsed)
}

// fleet returns the claims of the VMs, which share the table.
func (r benchRun) fleet(b *testing.B, table *limitedTable) []*Claims {
	var vms []*Claims
	for n := range r.vms {
		var shared platform.Table = table
		if r.budget {
			client := resilient.New(table, table, table, resilient.Settings{VMs: r.vms})
			b.Cleanup(client.Close)
			shared = client
		}
		vms = append(vms, New(shared, fmt.Sprint("vm-", n), r.settings, invariant.Strict()))
	}
	return vms
}

// claimAndFinish claims a key and finishes the request. It reports whether the claim
// succeeded and when the decision was made.
func claimAndFinish(v *Claims, n int) (run bool, decided time.Time) {
	k, id := Key{Key: fmt.Sprint(n)}, fmt.Sprint("r", n)
	decision := v.Claim(context.Background(), k, id, testDigest, time.Now().Add(testDeadline))
	decided = time.Now()
	if decision.Run {
		_ = v.Finish(context.Background(), k, id, outcome.Complete, &Answer{Status: 200})
	}
	return decision.Run, decided
}

// report reports latency percentiles, the share of refused requests and the rate of
// transactions.
func report(b *testing.B, won []time.Duration, refused int, commits uint64, elapsed time.Duration) {
	slices.Sort(won)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(milliseconds(won, 50), "p50-ms")
	b.ReportMetric(milliseconds(won, 99), "p99-ms")
	b.ReportMetric(100*float64(refused)/float64(len(won)+refused), "refused-%")
	b.ReportMetric(float64(commits)/elapsed.Seconds(), "txn/s")
}

// milliseconds returns the percentile of the sorted durations.
func milliseconds(sorted []time.Duration, percentile int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := (len(sorted) - 1) * percentile / 100
	return float64(sorted[at]) / float64(time.Millisecond)
}
