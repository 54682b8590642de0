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
