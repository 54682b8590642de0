package confstore

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// The table was restored from an older copy, and this VM has a newer version in force. A
// new change would get a version that is another change on this VM. It must be refused,
// and the snapshot in force must not change.
func TestRestoredTableIsNotWritten(t *testing.T) {
	f := newFixture(t)
	s := f.store("vm-1")
	revision := f.withProfile(s)
	old := f.table.rows[headKey]
	f.mustPropose(s, permitsProposal("shorten", revision, 2*time.Second))
	f.table.withLock(func() { f.table.rows[headKey] = old })
	_, err := s.Propose(context.Background(), workspaceProposal("desk", 0, 1))
	var lost *HistoryLostError
	if !errors.As(err, &lost) || deadlineOf(s) != 2*time.Second {
		t.Fatalf("got %v, deadline %s", err, deadlineOf(s))
	}
	// On a VM that never had the newer version, the existing row of the change prevents the
	// write.
	_, err = f.storeWith("vm-2", Options{ProposeTimeout: 50 * time.Millisecond}).
		Propose(context.Background(), workspaceProposal("desk", 0, 1))
	if err == nil {
		t.Fatal("a change that is in force on a VM was overwritten")
	}
}

// The table was restored from an older copy, and another VM has written a change at a
// version that is another change on this VM. This VM must report the fork, and must neither
// apply nor write changes of the other history.
func TestForkedTableIsNeitherAppliedNorWritten(t *testing.T) {
	f := newFixture(t)
	s := f.store("vm-1")
	revision := f.withProfile(s)
	oldHead := f.table.rows[headKey]
	f.mustPropose(s, permitsProposal("shorten", revision, 2*time.Second))
	f.table.withLock(func() {
		f.table.rows[headKey] = oldHead
		delete(f.table.rows, changeKey(revision+1))
	})
	f.mustPropose(f.store("vm-2"), workspaceProposal("desk", 0, 1))
	var fork *ForkError
	if err := s.Poll(context.Background()); !errors.As(err, &fork) {
		t.Fatalf("poll: %v", err)
	}
	if _, err := s.Propose(context.Background(), workspaceProposal("yard", 0, 1)); !errors.As(err, &fork) {
		t.Fatalf("propose: %v", err)
	}
	if deadlineOf(s) != 2*time.Second {
		t.Fatalf("deadline %s", deadlineOf(s))
	}
}
