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

// vm is the Claims of one VM on its own client of the shared store.
type vm struct {
	*Claims
	client *resilient.Client
}

// newVM returns the claims of the VM named name on a client of the store.
func newVM(t *testing.T, store *platformsim.Store, name string, settings Settings) *vm {
	t.Helper()
	client := resilient.New(store, store, store, resilient.Settings{})
	t.Cleanup(client.Close)
	return &vm{Claims: New(client, name, settings, invariant.Strict()), client: client}
}

// claim claims testKey for the request.
func (v *vm) claim(t *testing.T, requestID string) Decision {
	t.Helper()
	return v.Claim(t.Context(), testKey, requestID, testDigest, time.Now().Add(testDeadline))
}

// mustRun fails the test unless the decision is to run the request.
func mustRun(t *testing.T, d Decision) {
	t.Helper()
	if !d.Run {
		t.Fatalf("got %+v (%v), want a run", d, d.Failure)
	}
}

// mustFail fails the test unless the decision is a failure with the outcome and reason.
func mustFail(t *testing.T, d Decision, o outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	if d.Run || d.Replay != nil || d.Failure == nil || d.Failure.Outcome != o || d.Failure.Reason != reason {
		t.Fatalf("got %+v (%v), want %s (%s)", d, d.Failure, o, reason)
	}
}

// inVirtualTime runs a test in virtual time, once with each writer.
func inVirtualTime(t *testing.T, run func(t *testing.T, settings Settings)) {
	t.Helper()
	for _, ungrouped := range []bool{false, true} {
		t.Run(fmt.Sprintf("ungrouped=%t", ungrouped), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, Settings{Ungrouped: ungrouped}) })
		})
	}
}

func TestDecisionByEarlierRequest(t *testing.T) {
	small, large := &Answer{Status: 200, Body: []byte("held")}, &Answer{Body: make([]byte, MaxKeptAnswer+1)}
	cases := []struct {
		name   string
		finish func(v *vm) error // nil: the owner still runs the request, or crashed
		wait   time.Duration
		digest [32]byte
		want   outcome.Outcome
		reason outcome.Reason
	}{
		{name: "in progress", digest: testDigest, want: outcome.Unknown, reason: outcome.ReasonKeyInProgress},
		{name: "owner crashed", wait: testDeadline + time.Second, digest: testDigest, want: outcome.Unknown, reason: outcome.ReasonKeySpent},
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

// finishWith returns a function that finishes request r1 with the outcome and answer.
func finishWith(o outcome.Outcome, a *Answer) func(*vm) error {
	return func(v *vm) error { return v.Finish(context.Background(), testKey, "r1", o, a) }
}

// The response to a claim's write is lost after the row was written. The caller's
// request runs, as the row that is read back is this VM's own. A copy of the request on
// another VM does not run.
func TestLostResponseToClaim(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		first, second := newVM(t, store, "vm-1", settings), newVM(t, store, "vm-2", settings)
		store.Faults.Set(platformsim.Order{LoseAnswers: 1})
		mustRun(t, first.claim(t, "r1"))
		mustFail(t, second.claim(t, "r2"), outcome.Unknown, outcome.ReasonKeyInProgress)
	})
}

// A claim's write is delayed and reading it back fails, so the caller receives unknown.
// The caller retries on another VM, which claims the key and ends the request as
// not-run. Then the first VM's write is applied. It must have no effect: a further
// retry still ends as not-run, and nothing runs.
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

// The caller disconnects while its request waits for a target. The request is refused.
// The tombstone must be written nevertheless, as a copy of the request may still arrive.
func TestTombstoneIsWrittenAfterCallerDisconnects(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		v := newVM(t, platformsim.NewStore(), "vm-1", settings)
		mustRun(t, v.claim(t, "r1"))
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		if err := v.Finish(canceled, testKey, "r1", outcome.NotRun, nil); err != nil {
			t.Fatal(err)
		}
		mustFail(t, v.claim(t, "r2"), outcome.NotRun, outcome.ReasonKeySpent)
	})
}

// A request did not run, but the store becomes unavailable before the tombstone is
// written. Finish must fail, so that the caller receives unknown: another VM can't
// determine that the request did not run.
func TestFinishFailsWithoutTombstone(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		v := newVM(t, store, "vm-1", settings)
		mustRun(t, v.claim(t, "r1"))
		store.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		if err := v.Finish(t.Context(), testKey, "r1", outcome.NotRun, nil); !errors.Is(err, platform.ErrUnavailable) {
			t.Fatalf("got %v, want unavailable", err)
		}
		if err := v.Finish(t.Context(), testKey, "r1", outcome.Complete, nil); !errors.Is(err, ErrNotOwner) {
			t.Fatalf("second Finish: got %v, want ErrNotOwner", err)
		}
	})
}

func TestRowsDoNotContainKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		v := newVM(t, store, "vm-1", Settings{})
		mustRun(t, v.claim(t, "r1"))
		rows, err := store.Scan(t.Context(), "", "~", 10)
		if err != nil || len(rows) != 1 {
			t.Fatalf("%d rows, %v", len(rows), err)
		}
		if strings.Contains(rows[0].Key+string(rows[0].Value), testKey.Key) {
			t.Fatal("the key is stored in plain text")
		}
		moved := Key{Workspace: "limap", Profile: "ermits", Key: testKey.Key}
		if moved.hash() == testKey.hash() {
			t.Fatal("a key of another workspace has the same row")
		}
	})
}
