package confstore

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/resilient"
)

// As the process runs it: over the platform's client, which resolves lost answers
// itself and refuses transactions that it could not resolve. Answers to proposals,
// pointers and drops are lost in turn; each change takes effect once, rows are
// dropped, and a new VM has everything.
func TestOverThePlatformsClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := platformsim.NewStore()
		store := func(vm string) *Store {
			client := resilient.New(sim, sim, sim, resilient.Settings{VMs: 1})
			return New(Options{
				Table: client, Objects: client, VM: vm, Invariants: invariant.Strict(), CompactAfter: 5, RetainChanges: 3,
			})
		}
		s := store("vm-1")
		f := &fixture{t: t}
		for round := range 6 {
			f.fill(s, 5)
			sim.Faults.Set(platformsim.Order{LoseAnswers: 1 + round%3})
			f.fill(s, 1)
			f.mustCompact(s)
		}
		rows, err := s.options.Table.Scan(context.Background(), changeKey(0), changesEnd, scanPage)
		if err != nil || len(rows) > 10 {
			t.Fatalf("%d rows are left, %v", len(rows), err)
		}
		fresh := store("vm-2")
		if err := fresh.Load(context.Background()); err != nil || fresh.Current().Version != 36 {
			t.Fatalf("version %d, %v", fresh.Current().Version, err)
		}
	})
}

// losingTable loses its first transaction, after something else has happened.
type losingTable struct {
	platform.Table
	first func()
}

func (l *losingTable) Commit(ctx context.Context, txn platform.Txn) error {
	if first := l.first; first != nil {
		l.first = nil
		first()
		return &platform.AmbiguousError{TxnID: txn.ID, Cause: errors.New("lost")}
	}
	return l.Table.Commit(ctx, txn)
}

// Two operators use one id for different values, through two VMs at the same moment,
// and the second one's transaction is lost. Its VM finds the id in the table, but
// with the first one's value: the second operator is told so, and both VMs serve the
// same. Taken for its own, it would serve a value that no other VM has.
func TestOneIDWithTwoValuesKeepsVMsTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := platformsim.NewStore()
		losing := &losingTable{Table: sim}
		f := &fixture{t: t}
		first := New(Options{Table: sim, Objects: sim, VM: "vm-1", Invariants: invariant.Strict()})
		client := resilient.New(losing, sim, sim, resilient.Settings{VMs: 1})
		second := New(Options{Table: client, Objects: client, VM: "vm-2", Invariants: invariant.Strict()})
		proposal := workspace("crews", 0, 1)
		earlier := proposal
		losing.first = func() { f.mustPropose(first, earlier) }
		proposal.Value = []byte(`{"weight":2}`)
		_, err := second.Propose(context.Background(), proposal)
		var reused *IDReusedError
		if !errors.As(err, &reused) {
			t.Errorf("got %v, want the id refused", err)
		}
		if here, there := snapshotJSON(t, second), snapshotJSON(t, first); string(here) != string(there) {
			t.Fatalf("one VM serves %s, the other %s", there, here)
		}
	})
}
