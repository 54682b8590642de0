package resilient_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/resilient"
)

// Guards against reporting a change to an operator as not written although it takes effect
// later. The transaction is delayed, and the table fails before the outcome can be
// read back. The error matched both ErrAmbiguous and, by its cause, ErrUnavailable;
// writers that checked the second first treated the transaction as never sent.
func TestAmbiguousCommitIsNotUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 10 * time.Second
		store := platformsim.NewStore()
		client := newClient(t, store, resilient.Settings{})
		store.Faults.Set(platformsim.Order{DelayCommits: 1, DelayBy: config.Duration(late)})
		time.AfterFunc(500*time.Millisecond, func() {
			store.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		})
		ctx, cancel := context.WithTimeout(t.Context(), late/2)
		defer cancel()
		err := client.Commit(ctx, platform.Txn{
			ID: "t", Conditions: []platform.Condition{{Key: "k"}}, Writes: []platform.Write{{Key: "k"}},
		})
		if !errors.Is(err, platform.ErrAmbiguous) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRefused) {
			t.Errorf("got %v, want ambiguous only", err)
		}
		time.Sleep(late)
		synctest.Wait()
		if store.Peek("k").TxnID != "t" {
			t.Error("the delayed transaction did not take effect, so the test shows nothing")
		}
	})
}

// Guards against a transaction that overwrites another writer's row: its answer is lost, the table comes
// back from an older copy, and the revision that it requires is given out again.
func TestTransactionIsNotSentAgainInALaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := newClient(t, store, resilient.Settings{})
		write := func(id string, revision uint64) error {
			return store.Commit(t.Context(), platform.Txn{
				ID: id, Conditions: []platform.Condition{{Key: "k", Revision: revision}}, Writes: []platform.Write{{Key: "k"}},
			})
		}
		empty := store.Copy()
		store.Restore(empty) // an era other than 0, which is unknown
		if err := write("first", 0); err != nil {
			t.Fatal(err)
		}
		store.Faults.Set(platformsim.Order{Outage: platformsim.OutageHang})
		time.AfterFunc(100*time.Millisecond, func() {
			store.Restore(empty)
			store.Faults.Set(platformsim.Order{})
			if err := write("other", 0); err != nil {
				t.Error(err)
			}
		})
		err := client.Commit(t.Context(), platform.Txn{
			ID: "t", Era: store.Era(), Conditions: []platform.Condition{{Key: "k", Revision: 1}}, Writes: []platform.Write{{Key: "k"}},
		})
		if !errors.Is(err, platform.ErrAmbiguous) || store.Peek("k").TxnID != "other" {
			t.Errorf("error %v, the row is that of transaction %q", err, store.Peek("k").TxnID)
		}
	})
}
