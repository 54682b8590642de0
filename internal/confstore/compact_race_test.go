package confstore

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// Two VMs that hold the lease compact concurrently, one of them after a long pause. The
// paused VM must not set the pointer back to its older snapshot.
func TestPausedCompactionDoesNotRevertPointer(t *testing.T) {
	f := newFixture(t)
	paused, other := f.storeWith("vm-1", compactSoon), f.storeWith("vm-2", compactSoon)
	f.fill(paused, 6)
	f.table.onCommit = func(txn platform.Txn) {
		if txn.Writes[0].Key != snapshotKey {
			return
		}
		f.table.onCommit = nil
		if err := other.Poll(context.Background()); err != nil {
			t.Fatal(err)
		}
		f.fill(other, 6)
		f.mustCompact(other)
	}
	if err := paused.Compact(context.Background()); !errors.Is(err, platform.ErrRefused) {
		t.Fatalf("got %v, want the write of the pointer refused", err)
	}
	pointer, err := other.readPointer(context.Background())
	if err != nil || pointer.Version != 12 {
		t.Fatalf("pointer to version %d, %v", pointer.Version, err)
	}
	s := f.store("vm-3")
	if err := s.Load(context.Background()); err != nil || s.Current().Version != 12 {
		t.Fatalf("version %d, %v", s.Current().Version, err)
	}
}

// An operator's transaction is delayed for so long that another change was written at its
// version, and that row was dropped by compaction. When the transaction arrives it must
// have no effect, as the head row has changed. Otherwise it would set the head to an older
// version, and every VM that starts would miss the changes after it.
func TestDelayedTransactionAfterCompactionHasNoEffect(t *testing.T) {
	for name, guarded := range map[string]bool{"with the condition on the head": true, "without it": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testDelayedTransaction(t, guarded) })
		})
	}
}

// testDelayedTransaction checks that the delayed transaction has an effect only if it is
// sent without the condition on the head row.
func testDelayedTransaction(t *testing.T, guarded bool) {
	f := newFixture(t)
	late, other := f.store("vm-1"), f.storeWith("vm-2", compactSoon)
	f.fill(late, 1)
	if !guarded {
		late.hooks.conditions = func(c []platform.Condition) []platform.Condition { return c[1:] }
	}
	f.table.setFault(func(platform.Txn) fault { return delayRequest })
	_, err := late.Propose(context.Background(), workspaceProposal("desk", 0, 1))
	var pending *PendingError
	if !errors.As(err, &pending) {
		t.Fatalf("got %v, want pending", err)
	}
	f.table.setFault(nil)
	if err := other.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	last := f.fill(other, 12)
	f.mustCompact(other)
	before := maps.Clone(f.table.rows)
	f.table.applyDelayed()
	unchanged := fmt.Sprint(before) == fmt.Sprint(f.table.rows)
	if unchanged != guarded {
		t.Fatalf("the delayed transaction changed the table: %v", !unchanged)
	}
	s := f.store("vm-3")
	err = s.Load(context.Background())
	if arrived := err == nil && s.Current().Version == last; arrived != guarded {
		t.Fatalf("a new VM has version %d of %d, %v", s.Current().Version, last, err)
	}
	// The result can't be determined after the row was dropped.
	if _, err := late.Lookup(context.Background(), "desk-0-1"); guarded && !errors.As(err, &pending) {
		t.Fatalf("lookup: %v", err)
	}
}
