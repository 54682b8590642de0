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

// Two holders of the lease compact at once, one of them after a long pause: the
// pointer never goes back to the older snapshot.
func TestPausedCompactionDoesNotTakeThePointerBack(t *testing.T) {
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
		t.Fatalf("got %v, want the pointer refused", err)
	}
	pointer, err := other.readPointer(context.Background())
	if err != nil || pointer.Version != 12 {
		t.Fatalf("pointer to %d, %v", pointer.Version, err)
	}
	s := f.store("vm-3")
	if err := s.Load(context.Background()); err != nil || s.Current().Version != 12 {
		t.Fatalf("version %d, %v", s.Current().Version, err)
	}
}

// An operator's transaction is under way for so long that the row of its version
// was written by somebody else, compacted and dropped. It arrives then. The head
// has moved, so it has no effect; it would otherwise take the head back, and every
// VM that starts would miss the changes since.
func TestDelayedTransactionAfterCompactionHasNoEffect(t *testing.T) {
	for name, guarded := range map[string]bool{"with the condition on the head": true, "without it": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { delayedOverCompaction(t, guarded) })
		})
	}
}

func delayedOverCompaction(t *testing.T, guarded bool) {
	f := newFixture(t)
	late, other := f.store("vm-1"), f.storeWith("vm-2", compactSoon)
	f.fill(late, 1)
	if !guarded {
		late.hooks.conditions = func(c []platform.Condition) []platform.Condition { return c[1:] }
	}
	f.table.setFault(func(platform.Txn) fault { return delayRequest })
	_, err := late.Propose(context.Background(), workspace("desk", 0, 1))
	var pending *PendingError
	if !errors.As(err, &pending) {
		t.Fatalf("got %v", err)
	}
	f.table.setFault(nil)
	if err := other.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	last := f.fill(other, 12)
	f.mustCompact(other)
	before := maps.Clone(f.table.rows)
	f.table.release()
	unchanged := fmt.Sprint(before) == fmt.Sprint(f.table.rows)
	if unchanged != guarded {
		t.Fatalf("the delayed transaction changed the table: %v", !unchanged)
	}
	s := f.store("vm-3")
	err = s.Load(context.Background())
	if arrived := err == nil && s.Current().Version == last; arrived != guarded {
		t.Fatalf("a new VM has version %d of %d, %v", s.Current().Version, last, err)
	}
	// Nobody can tell any more what became of a row that is gone.
	if _, err := late.Lookup(context.Background(), "desk-0-1"); guarded && !errors.As(err, &pending) {
		t.Fatalf("lookup: %v", err)
	}
}
