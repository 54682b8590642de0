package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/resilient"
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
