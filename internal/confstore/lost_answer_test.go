package confstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// The operator's change is written, but the table's answer is lost.
// The store reads the change's row back, finds the operator's id and answers with
// the version. Reported as failed, the operator would make the change again, or
// think that an old profile is still in force.
func TestAnswerLostAfterTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.store("vm-1")
		revision := f.withProfile(s)
		f.table.setFault(once(loseAnswer))
		change := f.mustPropose(s, permits("shorten", revision, 2*time.Second))
		if change.Version != revision+1 || deadlineOf(s) != 2*time.Second {
			t.Fatalf("version %d, deadline %s", change.Version, deadlineOf(s))
		}
		if rows, _ := f.table.Scan(context.Background(), changeKey(0), changesEnd, 100); len(rows) != 3 {
			t.Fatalf("%d changes in the table, want 3", len(rows))
		}
	})
}

// The operator's transaction is under way for long and its answer is lost. The
// store sees no row and sends the same transaction again; then the delayed copy
// arrives. Both demand the same head, so one change stands in the history.
func TestDelayedCopyAppliesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.store("vm-1")
		revision := f.withProfile(s)
		f.table.setFault(once(delayRequest))
		change := f.mustPropose(s, permits("shorten", revision, 2*time.Second))
		for _, answer := range f.table.release() {
			if !errors.Is(answer, platform.ErrRefused) {
				t.Fatalf("the delayed copy was applied: %v", answer)
			}
		}
		if change.Version != revision+1 {
			t.Fatalf("version %d", change.Version)
		}
	})
}

// The operator's client gives up while the answer to the transaction is lost. The
// store reads back all the same: what was sent has to be known and put in force,
// though nobody waits for the answer.
func TestChangeIsSettledAfterItsAuthorHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.store("vm-1")
		revision := f.withProfile(s)
		ctx, leave := context.WithCancel(context.Background())
		f.table.setFault(func(platform.Txn) fault {
			leave()
			return loseAnswer
		})
		change, err := s.Propose(ctx, permits("shorten", revision, 2*time.Second))
		if err != nil || change.Version != revision+1 || deadlineOf(s) != 2*time.Second {
			t.Fatalf("version %d, %v, deadline %s", change.Version, err, deadlineOf(s))
		}
	})
}

// The first copy of a transaction is under way for long; the second one meets a
// table that is out. The second was certainly not taken, but the first may still
// arrive, so the operator must not be told that nothing was written.
func TestOutageOfTheSecondCopySaysNothingOfTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.store("vm-1")
		revision := f.withProfile(s)
		f.table.setFault(once(delayRequest))
		sent := 0
		f.table.onCommit = func(platform.Txn) {
			if sent++; sent == 2 {
				f.table.setOut(true)
			}
		}
		_, err := s.Propose(context.Background(), permits("shorten", revision, 2*time.Second))
		var pending *PendingError
		if !errors.As(err, &pending) || sent != 2 {
			t.Fatalf("got %v after %d copies, want pending", err, sent)
		}
	})
}

// The table goes out for good while a change is under way, so nobody can say
// whether it was written. The operator is told so, with the id; once the table is
// back, a lookup finds the change, or the certainty that it will never be written.
func TestOutageLeavesTheChangePending(t *testing.T) {
	for name, arrives := range map[string]bool{"written": true, "overtaken": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { pendingThenSettled(t, arrives) })
		})
	}
}

func pendingThenSettled(t *testing.T, arrives bool) {
	f := newFixture(t)
	s := f.store("vm-1")
	revision := f.withProfile(s)
	f.table.setFault(func(platform.Txn) fault {
		f.table.out = true
		return delayRequest
	})
	_, err := s.Propose(context.Background(), permits("shorten", revision, 2*time.Second))
	var pending *PendingError
	if !errors.As(err, &pending) || pending.ID != "shorten" || pending.Version != revision+1 {
		t.Fatalf("got %v, want pending", err)
	}
	f.table.setFault(nil)
	_, err = s.Propose(context.Background(), permits("shorten", revision, 2*time.Second))
	if !errors.As(err, &pending) {
		t.Fatalf("proposed again during the outage: %v, want pending", err)
	}
	f.table.setOut(false)
	if _, err := s.Lookup(context.Background(), "shorten"); !errors.As(err, &pending) {
		t.Fatalf("lookup while undecided: %v", err)
	}
	if arrives {
		f.table.release()
		found, err := s.Lookup(context.Background(), "shorten")
		if err != nil || found.Version != revision+1 {
			t.Fatalf("lookup of the written change: %d, %v", found.Version, err)
		}
		return
	}
	f.mustPropose(f.store("vm-2"), workspace("desk", 0, 1))
	var notWritten *NotWrittenError
	if _, err := s.Lookup(context.Background(), "shorten"); !errors.As(err, &notWritten) {
		t.Fatalf("lookup of the overtaken change: %v", err)
	}
}
