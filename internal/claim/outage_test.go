package claim

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/platform/resilient"
)

// The table is unavailable. Callers with a key must receive unknown immediately, with a
// retry delay, and nothing is dispatched, as an earlier attempt may have run on another
// VM. Once the outage is detected, a claim waits for nothing.
func TestClaimFailsImmediatelyDuringOutage(t *testing.T) {
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
				t.Fatal("the failure has no RetryAfter")
			}
		}
		if !time.Now().Equal(began) {
			t.Fatalf("100 claims during a detected outage waited %v, want no wait", time.Since(began))
		}
	})
}

// The store stops responding while groups are in flight, which wait for their timeout.
// Once the outage is detected, later claims must fail immediately instead of waiting
// behind those groups.
func TestClaimDoesNotWaitBehindHangingGroups(t *testing.T) {
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
			t.Fatalf("got %+v, want a detected outage with all groups in flight", v.Dump())
		}
		began := time.Now()
		mustFail(t, v.claim(t, "r"), outcome.Unknown, outcome.ReasonStoreUnavailable)
		if !time.Now().Equal(began) {
			t.Fatalf("the claim waited %v behind hanging groups", time.Since(began))
		}
		hanging.Wait()
	})
}

// The store is unavailable when a request is refused, so its caller receives unknown.
// After the outage the tombstone must be written, so that the caller's retry receives
// not-run. If the tombstone was written during the outage and only the response was
// lost, the existing row must end the retries.
func TestTombstoneIsWrittenAfterTheOutage(t *testing.T) {
	commits := map[string]platformsim.ActionKind{
		"refused":       platformsim.ActUnavailable,
		"response lost": platformsim.ActLoseAnswer,
	}
	for name, commit := range commits {
		t.Run(name, func(t *testing.T) { testTombstoneAfterOutage(t, commit) })
	}
}

// testTombstoneAfterOutage checks that the tombstone of a request that ends during an
// outage is in the table afterwards. commit is the fault of commits during the outage.
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
			t.Fatal("Finish succeeded during an outage")
		}
		time.Sleep(10 * time.Second)
		store.Faults.Choose(nil)
		time.Sleep(10 * time.Second)
		mustFail(t, second.claim(t, "r2"), outcome.NotRun, outcome.ReasonKeySpent)
		if state := first.Dump(); state.Waiting != 0 || state.Finished != 1 {
			t.Fatalf("got %+v, want none waiting and one finished", state)
		}
	})
}

// The table is unavailable for long and the end rows of all requests wait for it. Only
// the newest are kept, up to a limit: with their answers they would otherwise exhaust
// the VM's memory.
func TestEndRetriesAreBounded(t *testing.T) {
	var retries endRetries
	for i := range maxEndRetries + 1 {
		retries.add(newRow{key: strconv.Itoa(i)})
	}
	rows := retries.takeAll()
	if len(rows) != maxEndRetries || rows[0].key != "1" || retries.len() != 0 {
		t.Errorf("%d rows, the first is %q, %d left", len(rows), rows[0].key, retries.len())
	}
}
