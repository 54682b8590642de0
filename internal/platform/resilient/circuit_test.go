package resilient_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/resilient"
)

// The store hangs. The first few callers each pay an attempt's bound; from then on
// callers are refused at once, without a request to the store and without using up the
// rate budget, and one prober asks. When the store is back callers need not notice.
func TestOutageCostsNothingPerRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		counted := &countingTable{Store: store}
		client := resilient.New(counted, store, store, resilient.Settings{})
		defer client.Close()
		store.Faults.Set(platformsim.Order{Outage: platformsim.OutageHang})
		for range resilient.DefaultFailuresToOpen {
			_, _ = client.Get(t.Context(), "a")
		}
		if client.Healthy() {
			t.Fatal("the table hangs and is taken for up")
		}
		asked, began := counted.calls.Load(), time.Now()
		for range 1000 {
			if _, err := client.Get(t.Context(), "a"); !errors.Is(err, platform.ErrUnavailable) {
				t.Fatalf("got %v, want unavailable", err)
			}
			if err := client.Commit(t.Context(), create("t", "a")); !errors.Is(err, platform.ErrUnavailable) {
				t.Fatalf("got %v, want unavailable", err)
			}
		}
		if counted.calls.Load() != asked || !time.Now().Equal(began) {
			t.Fatalf("2000 callers made %d requests and waited %v", counted.calls.Load()-asked, time.Since(began))
		}
		store.Faults.Set(platformsim.Order{})
		time.Sleep(2 * (resilient.DefaultProbeInterval + resilient.DefaultProbeTimeout))
		if err := client.Commit(t.Context(), create("t", "a")); err != nil {
			t.Fatalf("after the outage: %v", err)
		}
	})
}

// countingTable counts the requests of callers, who ask for row a.
type countingTable struct {
	*platformsim.Store
	calls atomic.Int64
}

func (c *countingTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if keys[0] == "a" {
		c.calls.Add(1)
	}
	return c.Store.Get(ctx, keys...)
}

func (c *countingTable) Commit(ctx context.Context, txn platform.Txn) error {
	c.calls.Add(1)
	return c.Store.Commit(ctx, txn)
}

// Callers wait in line for the rate budget when the store begins to hang. Those whose
// turn comes later are refused without a request, also while the breaker lets a probe
// through: only the prober asks.
func TestWaitingCallersDoNotProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		counted := &countingTable{Store: store}
		client := resilient.New(counted, store, store, resilient.Settings{
			VMs: 1, ReadsPerSecond: 2, Timeout: time.Hour, AttemptTimeout: 100 * time.Millisecond,
		})
		defer client.Close()
		store.Faults.Set(platformsim.Order{Outage: platformsim.OutageHang})
		var callers sync.WaitGroup
		for range 60 {
			callers.Go(func() { _, _ = client.Get(t.Context(), "a") })
		}
		callers.Wait()
		if asked := counted.calls.Load(); asked != resilient.DefaultFailuresToOpen {
			t.Fatalf("%d requests of callers reached the store, want %d", asked, resilient.DefaultFailuresToOpen)
		}
	})
}

// Callers with almost no time left give up on a store that is well. Were they to
// count, a few of them would cut everyone off.
func TestImpatientCallersDoNotOpenTheCircuit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := wrap(t, store, resilient.Settings{})
		store.Faults.Set(platformsim.Order{SlowBy: durationOf(20 * time.Millisecond)})
		for range 2 * resilient.DefaultFailuresToOpen {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			_, _ = client.Get(ctx, "a")
			cancel()
		}
		if !client.Healthy() {
			t.Fatal("callers without time made a healthy table count as down")
		}
	})
}
