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
	benchCommitLatency = 2 * time.Millisecond
	benchWritesASecond = 300
	benchWriteBurst    = 10
)

// limitedTable is a table with the platform's limits: each commit takes a latency,
// and a transaction counts as one write against the rate. Writes over it wait.
type limitedTable struct {
	*platformsim.Store
	rate *rate.Limiter
}

func newLimitedTable() *limitedTable {
	return &limitedTable{
		Store: platformsim.NewStore(),
		rate:  rate.NewLimiter(benchWritesASecond, benchWriteBurst),
	}
}

func (l *limitedTable) Commit(ctx context.Context, txn platform.Txn) error {
	if err := l.rate.Wait(ctx); err != nil {
		return &platform.UnavailableError{Operation: "commit", Cause: err}
	}
	time.Sleep(benchCommitLatency)
	return l.Store.Commit(ctx, txn)
}

// BenchmarkClaims compares claims written one by one with grouped ones, on six VMs
// over one table, at open-loop rates of keyed requests, each with a claim and an end.
// Latency is that of the claim, from the request's intended arrival. "budget" keeps
// the fleet within a third of the table's rate, as in production.
func BenchmarkClaims(b *testing.B) {
	ways := []struct {
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
			for _, way := range ways {
				name := fmt.Sprintf("budget=%t/rate=%d/%s", budget, perSecond, way.name)
				run := benchRun{vms: 6, settings: way.settings, perSecond: perSecond, budget: budget}
				b.Run(name, run.measure)
			}
		}
	}
}

// BenchmarkClaimsOfLargeFleet shows what an even division of the budget among 320 VMs
// carries.
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

// claimAndFinish reports whether the claim was won and when that was known.
func claimAndFinish(v *Claims, n int) (run bool, decided time.Time) {
	k, id := Key{Key: fmt.Sprint(n)}, fmt.Sprint("r", n)
	decision := v.Claim(context.Background(), k, id, testDigest, time.Now().Add(testDeadline))
	decided = time.Now()
	if decision.Run {
		_ = v.Finish(context.Background(), k, id, outcome.Complete, &Answer{Status: 200})
	}
	return decision.Run, decided
}

func report(b *testing.B, won []time.Duration, refused int, commits uint64, elapsed time.Duration) {
	slices.Sort(won)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(milliseconds(won, 50), "p50-ms")
	b.ReportMetric(milliseconds(won, 99), "p99-ms")
	b.ReportMetric(100*float64(refused)/float64(len(won)+refused), "refused-%")
	b.ReportMetric(float64(commits)/elapsed.Seconds(), "txn/s")
}

func milliseconds(sorted []time.Duration, percentile int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := (len(sorted) - 1) * percentile / 100
	return float64(sorted[at]) / float64(time.Millisecond)
}
