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

// The store runs on the platform's client as in the process. The client resolves lost
// responses itself and refuses transactions whose result it could not resolve. Responses to
// proposals, writes of the pointer and drops are lost in turn. Each change must take effect
// once, rows must be dropped, and a VM that starts must load all changes.
func TestStoreOnResilientClient(t *testing.T) {
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
		rows, err := s.options.Table.Scan(context.Background(), changeKey(0), changesEnd, scanPageSize)
		if err != nil || len(rows) > 10 {
			t.Fatalf("%d rows are left, %v", len(rows), err)
		}
		fresh := store("vm-2")
		if err := fresh.Load(context.Background()); err != nil || fresh.Current().Version != 36 {
			t.Fatalf("version %d, %v", fresh.Current().Version, err)
		}
	})
}

// lossyTable calls first instead of applying its first transaction, and returns an
// ambiguous error.
type lossyTable struct {
	platform.Table
	first func()
}

// Commit implements platform.Table.
func (l *lossyTable) Commit(ctx context.Context, txn platform.Txn) error {
	if first := l.first; first != nil {
		l.first = nil
		first()
		return &platform.AmbiguousError{TxnID: txn.ID, Cause: errors.New("lost")}
	}
	return l.Table.Commit(ctx, txn)
}

// Two operators concurrently propose different values with the same id through two VMs, and
// the second transaction is lost. The second VM finds the id in the table, but with the
// value of the first operator. It must refuse the second proposal, and both VMs must serve
// the same configuration. If it took the row for its own, it would serve a value that no
// other VM has.
func TestReusedIDWithLostTransactionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := platformsim.NewStore()
		lossy := &lossyTable{Table: sim}
		f := &fixture{t: t}
		first := New(Options{Table: sim, Objects: sim, VM: "vm-1", Invariants: invariant.Strict()})
		client := resilient.New(lossy, sim, sim, resilient.Settings{VMs: 1})
		second := New(Options{Table: client, Objects: client, VM: "vm-2", Invariants: invariant.Strict()})
		proposal := workspaceProposal("crews", 0, 1)
		earlier := proposal
		lossy.first = func() { f.mustPropose(first, earlier) }
		proposal.Value = []byte(`{"weight":2}`)
		_, err := second.Propose(context.Background(), proposal)
		var reused *IDReusedError
		if !errors.As(err, &reused) {
			t.Errorf("got %v, want the id refused", err)
		}
		if secondJSON, firstJSON := snapshotJSON(t, second), snapshotJSON(t, first); string(secondJSON) != string(firstJSON) {
			t.Fatalf("the first VM serves %s, the second %s", firstJSON, secondJSON)
		}
	})
}
