package claim

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/outcome"
)

// A request's deadline passes while its claim waits behind a slow group. The caller
// receives unknown and the claim must never be sent, so that the caller's retry can
// claim the key and run.
func TestAbandonedClaimIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		v := newVM(t, store, "vm-1", Settings{MaxInFlight: 1})
		store.Faults.Set(platformsim.Order{DelayCommits: 1})
		go v.Claim(t.Context(), Key{Key: "slow"}, "r0", testDigest, time.Now().Add(testDeadline))
		synctest.Wait()
		short := v.Claim(t.Context(), testKey, "r1", testDigest, time.Now().Add(100*time.Millisecond))
		mustFail(t, short, outcome.Unknown, outcome.ReasonStoreUnavailable)
		time.Sleep(time.Minute)
		mustRun(t, v.claim(t, "r2"))
	})
}

// Many bulk claims wait for a slow table and have filled the part of the queue that they
// may use. An urgent claim must not be refused because of the queue length, and it must
// be written before the waiting bulk claims.
func TestUrgentClaimGoesAheadOfBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		store.Faults.Set(platformsim.Order{SlowBy: config.Duration(100 * time.Millisecond)})
		const queue = 16
		v := newVM(t, store, "vm-1", Settings{MaxGroup: 1, MaxInFlight: 1, MaxQueued: queue, Timeout: time.Hour})
		var bulk sync.WaitGroup
		var won, refused atomic.Int64
		for n := range 2 * queue {
			bulk.Go(func() {
				d := v.Claim(t.Context(), Key{Key: fmt.Sprint(n)}, fmt.Sprint("b", n), testDigest, time.Now().Add(testDeadline))
				if d.Run {
					won.Add(1)
				} else {
					refused.Add(1)
				}
			})
			synctest.Wait()
		}
		if refused.Load() == 0 {
			t.Fatal("no bulk claim was refused, so the queue was not full")
		}
		urgent := WithUrgency(t.Context(), config.Urgent)
		mustRun(t, v.Claim(urgent, testKey, "urgent", testDigest, time.Now().Add(testDeadline)))
		if won.Load() > 2 {
			t.Fatalf("%d bulk claims were written before the urgent one, want at most 2", won.Load())
		}
		bulk.Wait()
	})
}

// Copies of one request arrive on one VM at the same time and wait for the same group.
// Exactly one may run. If two were in one transaction, both would meet their condition,
// both would own the key, and the request would run twice.
func TestCopiesInOneGroupRunOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		settings.Linger = time.Millisecond
		v := newVM(t, store, "vm-1", settings)
		if runs := claimAtOnce(t, v, 8, func(int) Key { return testKey }); runs != 1 {
			t.Fatalf("%d copies ran, want 1", runs)
		}
	})
}

// A group contains a claim of a key that another VM owns. Only this claim may be refused;
// the other requests of the group run.
func TestRefusedRowDoesNotRefuseItsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		other, v := newVM(t, store, "vm-1", Settings{}), newVM(t, store, "vm-2", Settings{Linger: time.Millisecond})
		mustRun(t, other.claim(t, "r"))
		const claims = 8
		runs := claimAtOnce(t, v, claims, func(n int) Key {
			key := testKey
			key.Key = strings.Repeat("x", n)
			if n == 3 {
				key = testKey
			}
			return key
		})
		if runs != claims-1 {
			t.Fatalf("%d requests ran, want %d", runs, claims-1)
		}
		if commits, _ := store.Counts(); commits != 3 {
			t.Fatalf("%d transactions, want one of the first VM and two of the group", commits)
		}
	})
}

// claimAtOnce claims count keys concurrently and returns how many claims succeeded.
func claimAtOnce(t *testing.T, v *vm, count int, keyOf func(n int) Key) int {
	t.Helper()
	var (
		wait sync.WaitGroup
		mu   sync.Mutex
		runs int
	)
	for n := range count {
		wait.Go(func() {
			d := v.Claim(t.Context(), keyOf(n), fmt.Sprint("copy", n), testDigest, time.Now().Add(testDeadline))
			if d.Run {
				mu.Lock()
				defer mu.Unlock()
				runs++
			}
		})
	}
	wait.Wait()
	return runs
}
