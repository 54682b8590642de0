package claim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/outcome"
)

// A tombstone is written after its claim was swept and the key was claimed by a new
// request. The tombstone does not apply to the new request, which may have run, so a
// copy of the new request must receive unknown.
func TestTombstoneOfASweptClaimSaysNothing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, settings Settings) {
		store := platformsim.NewStore()
		first, second := newVM(t, store, "vm-1", settings), newVM(t, store, "vm-2", settings)
		mustRun(t, first.claim(t, "r1"))
		time.Sleep(DefaultRetention + 2*testDeadline)
		if result, err := second.Sweep(t.Context(), time.Now(), 10); err != nil || result.Deleted != 1 {
			t.Fatalf("got %+v, %v, want one row deleted", result, err)
		}
		mustRun(t, second.claim(t, "r2"))
		if err := first.Finish(t.Context(), testKey, "r1", outcome.NotRun, nil); err != nil {
			t.Fatal(err)
		}
		mustFail(t, first.claim(t, "r3"), outcome.Unknown, outcome.ReasonKeyInProgress)
	})
}

// A sweep deletes both rows of the keys whose retention has expired, and no others. This
// must also hold if a page ends between the two rows of a key.
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
			t.Fatalf("%d rows deleted (wrapped: %t), want 10", deleted, wrapped)
		}
		mustFail(t, v.claim(t, "again"), outcome.Unknown, outcome.ReasonKeySpent)
	})
}

// Tombstones that were written late are kept for their whole retention. Their claim rows
// must be kept as long, also if a page ends between the two rows, since a copy of the
// request that finds no claim row would run.
func TestSweepKeepsClaimOfLateTombstone(t *testing.T) {
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
				t.Fatalf("got %+v, %v, want no row deleted", result, err)
			}
		}
	})
}
