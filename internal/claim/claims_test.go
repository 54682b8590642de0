package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/resilient"
	"geraniumcroft/internal/standin/platformsim"
)

const testDeadline = 30 * time.Second

var (
	testKey    = Key{Workspace: "lima", Profile: "permits", Key: "bay-7"}
	testDigest = [32]byte{1}
)

// vm is one VM's claims over its own client of the shared store.
type vm struct {
	*Claims
	client *resilient.Client
}

func newVM(t *testing.T, store *platformsim.Store, name string, settings Settings) *vm {
	t.Helper()
	client := resilient.New(store, store, store, resilient.Settings{})
	t.Cleanup(client.Close)
	return &vm{Claims: New(client, name, settings, invariant.Strict()), client: client}
}

func (v *vm) claim(t *testing.T, requestID string) Decision {
	t.Helper()
	return v.Claim(t.Context(), testKey, requestID, testDigest, time.Now().Add(testDeadline))
}

func mustRun(t *testing.T, d Decision) {
	t.Helper()
	if !d.Run {
		t.Fatalf("got %+v (%v), want a run", d, d.Failure)
	}
}

func mustFail(t *testing.T, d Decision, o outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	if d.Run || d.Replay != nil || d.Failure == nil || d.Failure.Outcome != o || d.Failure.Reason != reason {
		t.Fatalf("got %+v (%v), want %s (%s)", d, d.Failure, o, reason)
	}
}

// inVirtualTime runs a test over both writers.
func inVirtualTime(t *testing.T, run func(t *testing.T, settings Settings)) {
	t.Helper()
	for _, ungrouped := range []bool{false, true} {
		t.Run(fmt.Sprintf("ungrouped=%t", ungrouped), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, Settings{Ungrouped: ungrouped}) })
		})
	}
}

func TestDecisionByAnEarlierRequest(t *testing.T) {
	small, large := &Answer{Status: 200, Body: []byte("held")}, &Answer{Body: make([]byte, MaxKeptAnswer+1)}
	cases := []struct {
		name   string
		finish func(v *vm) error // nil: the owner works on, or died
		wait   time.Duration
		digest [32]byte
		want   outcome.Outcome
		reason outcome.Reason
	}{
		{name: "in progress", digest: testDigest, want: outcome.Unknown, reason: outcome.ReasonKeyInProgress},
		{name: "owner died", wait: testDeadline + time.Second, digest: testDigest, want: outcome.Unknown, reason: outcome.ReasonKeySpent},
		{name: "other body", digest: [32]byte{2}, want: outcome.NotRun, reason: outcome.ReasonKeyReused},
		{name: "too large", finish: finishWith(outcome.Complete, large), digest: testDigest, want: outcome.Unknown, reason: outcome.ReasonKeySpent},
		{name: "unknown", finish: finishWith(outcome.Unknown, nil), digest: testDigest, want: outcome.Unknown, reason: outcome.ReasonKeySpent},
		{name: "not run", finish: finishWith(outcome.NotRun, nil), digest: testDigest, want: outcome.NotRun, reason: outcome.ReasonKeySpent},
		{name: "complete", finish: finishWith(outcome.Complete, small), digest: testDigest, want: outcome.Complete},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, settings Settings) {
				store := platformsim.NewStore()
				first, second := newVM(t, store, "vm-1", settings), newVM(t, store, "vm-2", settings)
				mustRun(t, first.claim(t, "r1"))
				if c.finish != nil {
					if err := c.finish(first); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(c.wait)
				got := second.Claim(t.Context(), testKey, "r2", c.digest, time.Now().Add(testDeadline))
				if c.want != outcome.Complete {
					mustFail(t, got, c.want, c.reason)
					return
				}
				if got.Replay == nil || string(got.Replay.Body) != "held" {
					t.Fatalf("got %+v, want the kept answer", got)
				}
			})
		})
	}
}

func finishWith(o outcome.Outcome, a *Answer) func(*vm) error {
	return func(v *vm) error { return v.Finish(context.Background(), testKey, "r1", o, a) }
}

// The answer to the claim is lost after it was written. The caller's request runs,
// as the row read back is this VM's; a copy at another VM does not.
func TestLostAnswerToAClaim(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		first, second := newVM(t, store, "vm-1", settings), newVM(t, store, "vm-2", settings)
		store.Faults.Set(platformsim.Order{LoseAnswers: 1})
		mustRun(t, first.claim(t, "r1"))
		mustFail(t, second.claim(t, "r2"), outcome.Unknown, outcome.ReasonKeyInProgress)
	})
}

// The caller is told unknown: the claim's write is late and reading back fails too.
// It retries at another VM, which refuses it not-run, and retries again. The first
// VM's write lands at last, and changes nothing: not-run stays not-run, nothing runs.
func TestLateClaimDoesNotRunAfterNotRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		first, second := newVM(t, store, "vm-1", settings), newVM(t, store, "vm-2", settings)
		late := time.Minute
		store.Faults.Choose(func(op platformsim.Operation) platformsim.Action {
			if op == platformsim.OpCommit {
				return platformsim.Action{Kind: platformsim.ActDelay, Wait: late}
			}
			return platformsim.Action{Kind: platformsim.ActUnavailable}
		})
		mustFail(t, first.claim(t, "r1"), outcome.Unknown, outcome.ReasonStoreUnavailable)
		store.Faults.Choose(nil)
		mustRun(t, second.claim(t, "r2"))
		if err := second.Finish(t.Context(), testKey, "r2", outcome.NotRun, nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * late)
		mustFail(t, first.claim(t, "r3"), outcome.NotRun, outcome.ReasonKeySpent)
	})
}

// The table is out. Callers with a key are told unknown at once, with a time to come
// back, and nothing is dispatched: an earlier attempt may have run on another VM.
// Once the outage is known it costs no request and no wait.
func TestOutageRefusesAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		v := newVM(t, store, "vm-1", settings)
		store.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		for n := range resilient.DefaultFailuresToOpen {
			mustFail(t, v.claim(t, fmt.Sprint("warm", n)), outcome.Unknown, outcome.ReasonStoreUnavailable)
		}
		began := time.Now()
		for n := range 100 {
			d := v.claim(t, fmt.Sprint("r", n))
			mustFail(t, d, outcome.Unknown, outcome.ReasonStoreUnavailable)
			if d.Failure.RetryAfter == 0 {
				t.Fatal("no time to come back")
			}
		}
		if !time.Now().Equal(began) {
			t.Fatalf("100 claims in a known outage waited %v", time.Since(began))
		}
	})
}

// The store falls silent with claims under way, which wait for their own bound. Once
// the outage is known, later callers are refused at once and not behind those.
func TestOutageDoesNotQueueBehindHangingGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		v := newVM(t, store, "vm-1", Settings{Timeout: 10 * time.Second})
		store.Faults.Set(platformsim.Order{Outage: platformsim.OutageHang})
		var hanging sync.WaitGroup
		for n := range DefaultMaxInFlight {
			hanging.Go(func() {
				v.Claim(t.Context(), Key{Key: fmt.Sprint(n)}, fmt.Sprint("h", n), testDigest, time.Now().Add(testDeadline))
			})
			synctest.Wait()
		}
		time.Sleep(3 * time.Second)
		if v.client.Healthy() || v.Dump().Grouping.Sending != DefaultMaxInFlight {
			t.Fatalf("not the state to test: %+v", v.Dump())
		}
		began := time.Now()
		mustFail(t, v.claim(t, "r"), outcome.Unknown, outcome.ReasonStoreUnavailable)
		if !time.Now().Equal(began) {
			t.Fatalf("waited %v behind hanging groups", time.Since(began))
		}
		hanging.Wait()
	})
}

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

// The caller leaves while its request waits for a target. The request is refused, and
// the tombstone is written all the same: a copy may still come.
func TestTombstoneOfACallerWhoLeft(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		v := newVM(t, platformsim.NewStore(), "vm-1", settings)
		mustRun(t, v.claim(t, "r1"))
		gone, leave := context.WithCancel(t.Context())
		leave()
		if err := v.Finish(gone, testKey, "r1", outcome.NotRun, nil); err != nil {
			t.Fatal(err)
		}
		mustFail(t, v.claim(t, "r2"), outcome.NotRun, outcome.ReasonKeySpent)
	})
}

// The request was not run, but the store goes out before the tombstone is written.
// Finish fails, so that the caller is told unknown: another VM cannot know.
func TestNotRunNeedsItsTombstone(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		v := newVM(t, store, "vm-1", settings)
		mustRun(t, v.claim(t, "r1"))
		store.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		if err := v.Finish(t.Context(), testKey, "r1", outcome.NotRun, nil); !errors.Is(err, platform.ErrUnavailable) {
			t.Fatalf("got %v, want unavailable", err)
		}
		if err := v.Finish(t.Context(), testKey, "r1", outcome.Complete, nil); !errors.Is(err, ErrNotOwner) {
			t.Fatalf("a second end: got %v", err)
		}
	})
}

// The store is out when a request is refused, and its caller told unknown. Once the
// store is back the tombstone is written after all, and the caller's retry learns that
// the request did not run. The same holds when it was written in the outage and only
// the answer lost: it is found and not tried for ever.
func TestTombstoneIsWrittenAfterTheOutage(t *testing.T) {
	commits := map[string]platformsim.ActionKind{
		"refused":     platformsim.ActUnavailable,
		"answer lost": platformsim.ActLoseAnswer,
	}
	for name, commit := range commits {
		t.Run(name, func(t *testing.T) { testTombstoneAfterOutage(t, commit) })
	}
}

func testTombstoneAfterOutage(t *testing.T, commit platformsim.ActionKind) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		first, second := newVM(t, store, "vm-1", settings), newVM(t, store, "vm-2", settings)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go first.Run(ctx)
		mustRun(t, first.claim(t, "r1"))
		store.Faults.Choose(func(op platformsim.Operation) platformsim.Action {
			if op == platformsim.OpCommit {
				return platformsim.Action{Kind: commit}
			}
			return platformsim.Action{Kind: platformsim.ActUnavailable}
		})
		if first.Finish(t.Context(), testKey, "r1", outcome.NotRun, nil) == nil {
			t.Fatal("finished in an outage")
		}
		time.Sleep(10 * time.Second)
		store.Faults.Choose(nil)
		time.Sleep(10 * time.Second)
		mustFail(t, second.claim(t, "r2"), outcome.NotRun, outcome.ReasonKeySpent)
		if state := first.Dump(); state.Waiting != 0 || state.Finished != 1 {
			t.Fatalf("%+v", state)
		}
	})
}

// A tombstone lands after its claim was swept, and the key is used anew. The tombstone
// is not about the new request, which may have run: its copy is told unknown.
func TestTombstoneOfASweptClaimSaysNothing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		first, second := newVM(t, store, "vm-1", settings), newVM(t, store, "vm-2", settings)
		mustRun(t, first.claim(t, "r1"))
		time.Sleep(DefaultRetention + 2*testDeadline)
		if result, err := second.Sweep(t.Context(), time.Now(), 10); err != nil || result.Deleted != 1 {
			t.Fatalf("%+v, %v", result, err)
		}
		mustRun(t, second.claim(t, "r2"))
		if err := first.Finish(t.Context(), testKey, "r1", outcome.NotRun, nil); err != nil {
			t.Fatal(err)
		}
		mustFail(t, first.claim(t, "r3"), outcome.Unknown, outcome.ReasonKeyInProgress)
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

// Swept keys are those whose retention is over, both rows at once; others stay, also
// where a page ends between the two rows of a key.
func TestSweepDeletesExpiredKeysOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		v := newVM(t, store, "vm-1", Settings{})
		for n := range 5 {
			key := Key{Key: fmt.Sprint("old", n)}
			id := fmt.Sprint("r", n)
			mustRun(t, v.Claim(t.Context(), key, id, testDigest, time.Now().Add(testDeadline)))
			if err := v.Finish(t.Context(), key, id, outcome.NotRun, nil); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(DefaultRetention)
		mustRun(t, v.claim(t, "new"))
		time.Sleep(2 * testDeadline)
		deleted, wrapped := 0, false
		for range 20 {
			result, err := v.Sweep(t.Context(), time.Now(), 3)
			if err != nil {
				t.Fatal(err)
			}
			deleted += result.Deleted
			if wrapped = result.Wrapped; wrapped {
				break
			}
		}
		if deleted != 10 || !wrapped {
			t.Fatalf("%d rows deleted (wrapped %t), want 10", deleted, wrapped)
		}
		mustFail(t, v.claim(t, "again"), outcome.Unknown, outcome.ReasonKeySpent)
	})
}

// Tombstones written late are kept for their whole retention, and so are their claims,
// also where a page ends between the two: a copy that finds the claim gone would run.
func TestSweepKeepsTheClaimOfALateTombstone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVM(t, platformsim.NewStore(), "vm-1", Settings{})
		const keys = 5
		keyOf := func(n int) Key { return Key{Key: fmt.Sprint(n)} }
		for n := range keys {
			mustRun(t, v.Claim(t.Context(), keyOf(n), fmt.Sprint("r", n), testDigest, time.Now().Add(testDeadline)))
		}
		time.Sleep(time.Hour)
		for n := range keys {
			if err := v.Finish(t.Context(), keyOf(n), fmt.Sprint("r", n), outcome.NotRun, nil); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(DefaultRetention - time.Minute)
		for range 10 {
			result, err := v.Sweep(t.Context(), time.Now(), 3)
			if err != nil || result.Deleted > 0 {
				t.Fatalf("%+v, %v; want nothing deleted", result, err)
			}
		}
	})
}

func TestRowsHoldNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		v := newVM(t, store, "vm-1", Settings{})
		mustRun(t, v.claim(t, "r1"))
		rows, err := store.Scan(t.Context(), "", "~", 10)
		if err != nil || len(rows) != 1 {
			t.Fatalf("%d rows, %v", len(rows), err)
		}
		if strings.Contains(rows[0].Key+string(rows[0].Value), testKey.Key) {
			t.Fatal("the key is stored in the clear")
		}
		moved := Key{Workspace: "limap", Profile: "ermits", Key: testKey.Key}
		if moved.hash() == testKey.hash() {
			t.Fatal("another workspace's key has the same row")
		}
	})
}
