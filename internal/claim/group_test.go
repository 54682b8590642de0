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

// A caller's time runs out while its claim waits behind a slow group. It is told
// unknown, and the claim is never sent: the caller's retry finds the key free and runs.
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

// A long line of bulk claims waits for a slow table, and has filled its part of the
// queue. An urgent claim is written next, and not refused for the queue.
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
			t.Fatal("the bulk claims do not fill their part of the queue")
		}
		urgent := WithUrgency(t.Context(), config.Urgent)
		mustRun(t, v.Claim(urgent, testKey, "urgent", testDigest, time.Now().Add(testDeadline)))
		if won.Load() > 2 {
			t.Fatalf("%d bulk claims went first", won.Load())
		}
		bulk.Wait()
	})
}

// Copies of one request reach one VM in the same moment and wait for the same group.
// One runs. Were both in one transaction, each would hold the other's condition, both
// would be told that they won, and the request would run twice.
func TestCopiesInOneGroupRunOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		settings.Linger = time.Millisecond
		v := newVM(t, store, "vm-1", settings)
		if runs := claimAtOnce(t, v, 8, func(int) Key { return testKey }); runs != 1 {
			t.Fatalf("%d copies run, want 1", runs)
		}
	})
}

// A request whose key is taken is refused; the others of its group run.
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
			t.Fatalf("%d run, want %d", runs, claims-1)
		}
		if commits, _ := store.Counts(); commits != 3 {
			t.Fatalf("%d transactions, want one for the first VM, and the group's twice", commits)
		}
	})
}

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
