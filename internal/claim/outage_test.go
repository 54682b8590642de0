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

// The table is out for long and every request's end waits for it. The newest are
// kept, within a bound: with their answers they would otherwise fill the VM's memory.
func TestLateEndsAreBounded(t *testing.T) {
	var late lateEnds
	for i := range maxLateEnds + 1 {
		late.add(newRow{key: strconv.Itoa(i)})
	}
	rows := late.takeAll()
	if len(rows) != maxLateEnds || rows[0].key != "1" || late.len() != 0 {
		t.Errorf("%d rows from %q on, %d left", len(rows), rows[0].key, late.len())
	}
}
