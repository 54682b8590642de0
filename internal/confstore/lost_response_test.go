package confstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// A change is written, but the response of the table is lost. The store must read the
// change's row, find the proposal's id and return the version. If the proposal failed, the
// operator would repeat the change, or assume that an old profile is still in force.
func TestAnswerLostAfterTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.store("vm-1")
		revision := f.withProfile(s)
		f.table.setFault(firstCommit(loseAnswer))
		change := f.mustPropose(s, permitsProposal("shorten", revision, 2*time.Second))
		if change.Version != revision+1 || deadlineOf(s) != 2*time.Second {
			t.Fatalf("version %d, deadline %s", change.Version, deadlineOf(s))
		}
		if rows, _ := f.table.Scan(context.Background(), changeKey(0), changesEnd, 100); len(rows) != 3 {
			t.Fatalf("%d changes in the table, want 3", len(rows))
		}
	})
}

// A transaction is delayed and its response is lost. The store finds no row and sends the
// same transaction again. Then the delayed copy arrives. Both require the same head row, so
// the change must be written only once.
func TestDelayedCopyAppliesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.store("vm-1")
		revision := f.withProfile(s)
		f.table.setFault(firstCommit(delayRequest))
		change := f.mustPropose(s, permitsProposal("shorten", revision, 2*time.Second))
		for _, result := range f.table.applyDelayed() {
			if !errors.Is(result, platform.ErrRefused) {
				t.Fatalf("the delayed copy was applied: %v", result)
			}
		}
		if change.Version != revision+1 {
			t.Fatalf("version %d", change.Version)
		}
	})
}

// The operator's client disconnects and the response to the transaction is lost. The store
// must nevertheless resolve the transaction and put the change in force.
func TestChangeIsResolvedAfterClientDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.store("vm-1")
		revision := f.withProfile(s)
		ctx, disconnect := context.WithCancel(context.Background())
		f.table.setFault(func(platform.Txn) fault {
			disconnect()
			return loseAnswer
		})
		change, err := s.Propose(ctx, permitsProposal("shorten", revision, 2*time.Second))
		if err != nil || change.Version != revision+1 || deadlineOf(s) != 2*time.Second {
			t.Fatalf("version %d, %v, deadline %s", change.Version, err, deadlineOf(s))
		}
	})
}

// The first copy of a transaction is delayed, and the table is unavailable for the second
// one. The second copy was not applied, but the first may still arrive, so the proposal
// must not report that nothing was written.
func TestOutageOfTheSecondCopySaysNothingOfTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.store("vm-1")
		revision := f.withProfile(s)
		f.table.setFault(firstCommit(delayRequest))
		sent := 0
		f.table.onCommit = func(platform.Txn) {
			if sent++; sent == 2 {
				f.table.setUnavailable(true)
			}
		}
		_, err := s.Propose(context.Background(), permitsProposal("shorten", revision, 2*time.Second))
		var pending *PendingError
		if !errors.As(err, &pending) || sent != 2 {
			t.Fatalf("got %v after %d copies, want pending", err, sent)
		}
	})
}

// The table becomes unavailable while a transaction is delayed, so it can't be determined
// whether the change was written. The proposal must report this together with the id. After
// the outage, a lookup must return the change, or report that it will never be written.
func TestOutageLeavesTheChangePending(t *testing.T) {
	for name, arrives := range map[string]bool{"written": true, "overtaken": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPendingChange(t, arrives) })
		})
	}
}

// testPendingChange checks the lookup of a pending change. If arrives is true the delayed
// transaction is applied, otherwise another change takes its version.
func testPendingChange(t *testing.T, arrives bool) {
	f := newFixture(t)
	s := f.store("vm-1")
	revision := f.withProfile(s)
	f.table.setFault(func(platform.Txn) fault {
		f.table.unavailable = true
		return delayRequest
	})
	_, err := s.Propose(context.Background(), permitsProposal("shorten", revision, 2*time.Second))
	var pending *PendingError
	if !errors.As(err, &pending) || pending.ID != "shorten" || pending.Version != revision+1 {
		t.Fatalf("got %v, want pending", err)
	}
	f.table.setFault(nil)
	_, err = s.Propose(context.Background(), permitsProposal("shorten", revision, 2*time.Second))
	if !errors.As(err, &pending) {
		t.Fatalf("proposed again during the outage: %v, want pending", err)
	}
	f.table.setUnavailable(false)
	if _, err := s.Lookup(context.Background(), "shorten"); !errors.As(err, &pending) {
		t.Fatalf("lookup while unresolved: %v, want pending", err)
	}
	if arrives {
		f.table.applyDelayed()
		found, err := s.Lookup(context.Background(), "shorten")
		if err != nil || found.Version != revision+1 {
			t.Fatalf("lookup of the written change: %d, %v", found.Version, err)
		}
		return
	}
	f.mustPropose(f.store("vm-2"), workspaceProposal("desk", 0, 1))
	var notWritten *NotWrittenError
	if _, err := s.Lookup(context.Background(), "shorten"); !errors.As(err, &notWritten) {
		t.Fatalf("lookup of the superseded change: %v", err)
	}
}
