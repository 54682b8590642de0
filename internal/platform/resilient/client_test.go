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

func wrap(t *testing.T, store *platformsim.Store, settings resilient.Settings) *resilient.Client {
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

// The writer is told that its commit took effect although the answer was lost: the
// row that is read back carries the transaction's ID, so nothing is sent again.
func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := wrap(t, store, resilient.Settings{})
		store.Faults.Set(platformsim.Order{LoseAnswers: 1})
		if err := client.Commit(t.Context(), create("t", "a")); err != nil {
			t.Fatal(err)
		}
		if commits, _ := store.Counts(); commits != 1 {
			t.Fatalf("the service saw %d commits, want 1", commits)
		}
	})
}

// The writer's commit is late: it takes effect long after the attempt ran out. The
// row read back still holds the condition, so the same transaction is sent again and
// takes effect; the late copy is refused by the condition. The row is written once.
func TestLateCommitTakesEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := wrap(t, store, resilient.Settings{})
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

// The writer's answer is lost, and before it reads back another writer changes the
// row. Whether the first write took effect cannot be seen from the rows: without a
// witness the writer is told ambiguous, and with one it is told what the witness says.
func TestOverwrittenCommitNeedsAWitness(t *testing.T) {
	witness := func(verdict platform.Resolution) platform.Resolver {
		return func([]platform.Row) platform.Resolution { return verdict }
	}
	cases := []struct {
		name    string
		witness platform.Resolver
		want    error
	}{
		{"none", nil, platform.ErrAmbiguous},
		{"unknown", witness(platform.ResolutionUnknown), platform.ErrAmbiguous},
		{"committed", witness(platform.ResolutionCommitted), nil},
		{"refused", witness(platform.ResolutionRefused), platform.ErrRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformsim.NewStore()
				raced := &overwriter{Store: store}
				client := resilient.New(raced, store, store, resilient.Settings{})
				defer client.Close()
				store.Faults.Set(platformsim.Order{LoseAnswers: 1})
				txn := create("t", "a")
				txn.Resolver = c.witness
				if err := client.Commit(t.Context(), txn); !errors.Is(err, c.want) {
					t.Fatalf("got %v, want %v", err, c.want)
				}
			})
		})
	}
}

// overwriter changes row a between a commit and the next read.
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

// A write that was paid by taking a turn is sent at once; the next one waits.
func TestTurnPaysForOneCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := wrap(t, store, resilient.Settings{VMs: 1, WritesPerSecond: 4, Burst: 1})
		ctx, err := client.ReserveWrite(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := client.Commit(ctx, create("t1", "a")); err != nil {
			t.Fatal(err)
		}
		if !time.Now().Equal(began) {
			t.Fatalf("a paid commit waited %v", time.Since(began))
		}
		if err := client.Commit(ctx, create("t2", "b")); err != nil {
			t.Fatal(err)
		}
		if time.Now().Equal(began) {
			t.Fatal("the turn paid for two commits")
		}
	})
}

// A caller's urgent read is answered while a long line of background reads waits for
// the rate budget: the two draw on separate lanes.
func TestUrgentDoesNotWaitBehindBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore()
		client := wrap(t, store, resilient.Settings{Timeout: time.Hour})
		var background atomic.Int64
		const line = 2000
		for range line {
			go func() {
				_, _ = client.Get(t.Context(), "a")
				background.Add(1)
			}()
		}
		synctest.Wait()
		began := time.Now()
		if _, err := client.Get(platform.WithRateClass(t.Context(), platform.RateClassUrgent), "a"); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(began); waited != 0 || background.Load() == line {
			t.Fatalf("urgent read waited %v, %d of %d background reads were first", waited, background.Load(), line)
		}
		time.Sleep(time.Hour)
	})
}

// Without a condition on its first row a commit sent twice could take effect twice.
func TestCommitWithoutConditionIsNotSent(t *testing.T) {
	store := platformsim.NewStore()
	client := wrap(t, store, resilient.Settings{})
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
