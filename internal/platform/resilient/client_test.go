package resilient_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/resilient"
)

func newClient(t *testing.T, store *platformsim.Store, settings resilient.Settings) *resilient.Client {
	t.Helper()
	client := resilient.New(store, store, store, settings)
	t.Cleanup(client.Close)
	return client
}

func create(id, key string) platform.Txn {
	return platform.Txn{
		ID:         id,
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: []byte(id)}},
	}
}

// A commit whose response is lost is reported as successful: the row that is read back
// has the transaction's ID, so nothing is sent again.
func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := newClient(t, store, resilient.Settings{})
		store.Faults.Set(platformsim.Order{LoseAnswers: 1})
		if err := client.Commit(t.Context(), create("t", "a")); err != nil {
			t.Fatal(err)
		}
		if commits, _ := store.Counts(); commits != 1 {
			t.Fatalf("the service saw %d commits, want 1", commits)
		}
	})
}

// A commit is delayed beyond the timeout of its attempt. The row that is read back still
// satisfies the condition, so the same transaction is sent again and takes effect. The
// delayed copy is then refused by the condition, so the row is written once.
func TestLateCommitTakesEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := newClient(t, store, resilient.Settings{})
		late := 20 * time.Second
		store.Faults.Set(platformsim.Order{DelayCommits: 1, DelayBy: durationOf(late)})
		if err := client.Commit(t.Context(), create("t", "a")); err != nil {
			t.Fatal(err)
		}
		before, err := client.Get(t.Context(), "a")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * late)
		after, err := client.Get(t.Context(), "a")
		if err != nil || after[0].Revision != before[0].Revision {
			t.Fatalf("row went from revision %d to %d, %v", before[0].Revision, after[0].Revision, err)
		}
		if commits, _ := store.Counts(); commits != 2 {
			t.Fatalf("the service saw %d commits, want both copies", commits)
		}
	})
}

// The response is lost, and another writer changes the row before it is read back. The
// rows do not show whether the first write took effect: without a Resolver the error is
// ambiguous, with one the result is the one that the Resolver returns.
func TestOverwrittenCommitNeedsAResolver(t *testing.T) {
	resolver := func(resolution platform.Resolution) platform.Resolver {
		return func([]platform.Row) platform.Resolution { return resolution }
	}
	cases := []struct {
		name     string
		resolver platform.Resolver
		want     error
	}{
		{"none", nil, platform.ErrAmbiguous},
		{"unknown", resolver(platform.ResolutionUnknown), platform.ErrAmbiguous},
		{"committed", resolver(platform.ResolutionCommitted), nil},
		{"refused", resolver(platform.ResolutionRefused), platform.ErrRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformsim.NewStore()
				overwriting := &overwriter{Store: store}
				client := resilient.New(overwriting, store, store, resilient.Settings{})
				defer client.Close()
				store.Faults.Set(platformsim.Order{LoseAnswers: 1})
				txn := create("t", "a")
				txn.Resolver = c.resolver
				if err := client.Commit(t.Context(), txn); !errors.Is(err, c.want) {
					t.Fatalf("got %v, want %v", err, c.want)
				}
			})
		})
	}
}

// overwriter overwrites row a once, between a commit and the next read.
type overwriter struct {
	*platformsim.Store
	done bool
}

func (o *overwriter) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := o.Store.Get(ctx, keys...)
	if err != nil || o.done {
		return rows, err
	}
	o.done = true
	other := create("other", "a")
	other.Conditions[0].Revision = rows[0].Revision
	if err := o.Store.Commit(ctx, other); err != nil {
		return nil, err
	}
	return o.Store.Get(ctx, keys...)
}

// A commit with a reserved write is sent immediately; the next one waits for budget.
func TestReservationCoversOneCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := newClient(t, store, resilient.Settings{VMs: 1, WritesPerSecond: 4, Burst: 1})
		ctx, err := client.ReserveWrite(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if err := client.Commit(ctx, create("t1", "a")); err != nil {
			t.Fatal(err)
		}
		if !time.Now().Equal(start) {
			t.Fatalf("a reserved commit waited %v", time.Since(start))
		}
		if err := client.Commit(ctx, create("t2", "b")); err != nil {
			t.Fatal(err)
		}
		if time.Now().Equal(start) {
			t.Fatal("one reservation was used for two commits")
		}
	})
}

// An urgent read does not wait while a long queue of background reads waits for the rate
// budget: the two rate classes have separate limiters.
func TestUrgentDoesNotWaitBehindBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := newClient(t, store, resilient.Settings{Timeout: time.Hour})
		var background atomic.Int64
		const queued = 2000
		for range queued {
			go func() {
				_, _ = client.Get(t.Context(), "a")
				background.Add(1)
			}()
		}
		synctest.Wait()
		start := time.Now()
		if _, err := client.Get(platform.WithRateClass(t.Context(), platform.RateClassUrgent), "a"); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(start); waited != 0 || background.Load() == queued {
			t.Fatalf("urgent read waited %v, after %d of %d background reads", waited, background.Load(), queued)
		}
		time.Sleep(time.Hour)
	})
}

// Without a condition on its first row a commit that is sent twice could take effect
// twice, so it is refused before it is sent.
func TestCommitWithoutConditionIsNotSent(t *testing.T) {
	store := platformsim.NewStore()
	client := newClient(t, store, resilient.Settings{})
	txn := create("t", "a")
	txn.Conditions[0].Key = "b"
	var invalid *platform.InvalidTxnError
	if err := client.Commit(t.Context(), txn); !errors.As(err, &invalid) {
		t.Fatalf("got %v, want it invalid", err)
	}
	if commits, _ := store.Counts(); commits != 0 {
		t.Fatal("it was sent")
	}
}
