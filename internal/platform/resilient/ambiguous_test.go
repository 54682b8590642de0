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

// An operator is told that a change was not written, and later it is in force. Its
// transaction was late; before its fate could be read back the table went out. The
// error said that it may have taken effect, because the table could not be asked: it
// was both ErrAmbiguous and ErrUnavailable, and writers that asked for the second
// first took the transaction for one that was never sent.
func TestAmbiguousCommitIsNotUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 10 * time.Second
		store := platformsim.NewStore()
		client := wrap(t, store, resilient.Settings{})
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
			t.Errorf("the error says too much: %v", err)
		}
		time.Sleep(late)
		synctest.Wait()
		if store.Peek("k").TxnID != "t" {
			t.Error("the transaction did not take effect: the test proves nothing")
		}
	})
}
