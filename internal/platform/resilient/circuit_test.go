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

// The store hangs. The first few callers each wait for an attempt's timeout. After that
// operations fail immediately, without a request to the store and without consuming the
// rate budget, and one prober sends requests. When the store has recovered, operations
// succeed again without any action of the callers.
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
			t.Fatal("the table hangs but is reported healthy")
		}
		requests, start := counted.calls.Load(), time.Now()
		for range 1000 {
			if _, err := client.Get(t.Context(), "a"); !errors.Is(err, platform.ErrUnavailable) {
				t.Fatalf("got %v, want unavailable", err)
			}
			if err := client.Commit(t.Context(), create("t", "a")); !errors.Is(err, platform.ErrUnavailable) {
				t.Fatalf("got %v, want unavailable", err)
			}
		}
		if counted.calls.Load() != requests || !time.Now().Equal(start) {
			t.Fatalf("2000 callers made %d requests and waited %v", counted.calls.Load()-requests, time.Since(start))
		}
		store.Faults.Set(platformsim.Order{})
		time.Sleep(2 * (resilient.DefaultProbeInterval + resilient.DefaultProbeTimeout))
		if err := client.Commit(t.Context(), create("t", "a")); err != nil {
			t.Fatalf("after the outage: %v", err)
		}
	})
}

// countingTable counts the requests of callers, which are those for row a. Probes read
// another row.
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

// Guards against operations that fail for good after Close, since no probe closes an open circuit any more.
func TestOperationsWorkAfterCloseDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := resilient.New(store, store, store, resilient.Settings{})
		store.Faults.Set(platformsim.Order{Outage: platformsim.OutageHang})
		for range resilient.DefaultFailuresToOpen {
			_, _ = client.Get(t.Context(), "a")
		}
		client.Close()
		store.Faults.Set(platformsim.Order{})
		if err := client.Commit(t.Context(), create("t", "a")); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

// Callers are queued for the rate budget when the store begins to hang. Those that get
// their budget later fail without a request, also while the breaker admits a probe: only
// the prober sends requests.
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
		if requests := counted.calls.Load(); requests != resilient.DefaultFailuresToOpen {
			t.Fatalf("%d requests of callers reached the store, want %d", requests, resilient.DefaultFailuresToOpen)
		}
	})
}

// Callers whose deadline is almost over time out on a healthy store. If these counted as
// failures, a few of them would open the circuit for all callers.
func TestShortDeadlinesDoNotOpenTheCircuit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := newClient(t, store, resilient.Settings{})
		store.Faults.Set(platformsim.Order{SlowBy: durationOf(20 * time.Millisecond)})
		for range 2 * resilient.DefaultFailuresToOpen {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			_, _ = client.Get(ctx, "a")
			cancel()
		}
		if !client.Healthy() {
			t.Fatal("callers with short deadlines opened the circuit of a healthy table")
		}
	})
}

// Guards against probes that never end: the object that is probed for does not exist, and each probe after
// the outage counted as failed.
func TestProbesOfObjectsEndWithTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := newClient(t, store, resilient.Settings{})
		store.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		for range resilient.DefaultFailuresToOpen {
			_, _ = client.Fetch(t.Context(), "a")
		}
		store.Faults.Set(platformsim.Order{})
		time.Sleep(2 * (resilient.DefaultProbeInterval + resilient.DefaultProbeTimeout))
		before := client.Dump().Probes
		time.Sleep(time.Minute)
		if after := client.Dump().Probes; after != before {
			t.Errorf("%d probes in the minute after the outage", after-before)
		}
		if _, err := client.Fetch(t.Context(), "a"); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("got %v, want that there is no such object", err)
		}
	})
}
