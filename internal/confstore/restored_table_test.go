package confstore

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// The table was restored from an older copy. This VM has newer versions in force,
// so a new change would take a version that means something else here; it is
// refused, and the snapshot stays.
func TestTableThatLostHistoryIsNotWritten(t *testing.T) {
	f := newFixture(t)
	s := f.store("vm-1")
	revision := f.withProfile(s)
	old := f.table.rows[headKey]
	f.mustPropose(s, permits("shorten", revision, 2*time.Second))
	f.table.set(func() { f.table.rows[headKey] = old })
	_, err := s.Propose(context.Background(), workspace("desk", 0, 1))
	var lost *HistoryLostError
	if !errors.As(err, &lost) || deadlineOf(s) != 2*time.Second {
		t.Fatalf("got %v, deadline %s", err, deadlineOf(s))
	}
	// A VM without memory of the newer version is stopped by the change's own row.
	_, err = f.storeWith("vm-2", Options{ProposeTimeout: 50 * time.Millisecond}).
		Propose(context.Background(), workspace("desk", 0, 1))
	if err == nil {
		t.Fatal("the change that VMs have in force was written over")
	}
}

// The table was restored from an older copy and another VM has written a change at
// a version that means something else here. This VM reports it and neither follows
// the other history nor writes to it.
func TestTableThatWasWrittenOverIsNotFollowed(t *testing.T) {
	f := newFixture(t)
	s := f.store("vm-1")
	revision := f.withProfile(s)
	oldHead := f.table.rows[headKey]
	f.mustPropose(s, permits("shorten", revision, 2*time.Second))
	f.table.set(func() {
		f.table.rows[headKey] = oldHead
		delete(f.table.rows, changeKey(revision+1))
	})
	f.mustPropose(f.store("vm-2"), workspace("desk", 0, 1))
	var fork *ForkError
	if err := s.Poll(context.Background()); !errors.As(err, &fork) {
		t.Fatalf("poll: %v", err)
	}
	if _, err := s.Propose(context.Background(), workspace("yard", 0, 1)); !errors.As(err, &fork) {
		t.Fatalf("propose: %v", err)
	}
	if deadlineOf(s) != 2*time.Second {
		t.Fatalf("deadline %s", deadlineOf(s))
	}
}
