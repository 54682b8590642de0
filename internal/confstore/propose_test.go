package confstore

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
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

// Two operators change the profile that both have read. The first one's change
// stands; the second is told of the conflict and gets the present profile.
// Without the check the first one's change would be silently lost.
func TestTwoOperatorsOnOneProfile(t *testing.T) {
	Convey("Given a profile that two operators have read and one has changed", t, func() {
		f := newFixture(t)
		first, second := f.store("vm-1"), f.store("vm-2")
		revision := f.withProfile(first)
		f.mustPropose(first, permits("first", revision, 2*time.Second))

		Convey("the second one's change is a conflict that shows the present profile", func() {
			_, err := second.Propose(t.Context(), permits("second", revision, 3*time.Second))
			var conflict *ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Revision, ShouldEqual, revision+1)
			var current config.Profile
			So(json.Unmarshal(conflict.Current, &current), ShouldBeNil)
			So(time.Duration(current.Deadline), ShouldEqual, 2*time.Second)
			So(deadlineOf(second), ShouldEqual, 2*time.Second)
		})
	})
}

// Operators change different entities at the same moment through two VMs. The
// second transaction loses on the head, reads the newer change, validates again
// and retries: both changes stand and nobody sees a conflict.
func TestChangesOfDifferentEntitiesBothStand(t *testing.T) {
	f := newFixture(t)
	first, second := f.store("vm-1"), f.store("vm-2")
	f.withProfile(first)
	raced := false
	f.table.setFault(func(txn platform.Txn) fault {
		if raced {
			return noFault
		}
		raced = true
		// The other operator's change comes first, between the read and the write.
		other := config.Change{ID: "other", Author: "eva", Kind: config.EntityWorkspace, Name: "desk", Value: []byte(`{}`)}
		newest, _ := decodeHead(f.table.rows[headKey])
		other.Version = newest.Version + 1
		a, _ := first.transaction(other, newest)
		_ = f.table.apply(a.txn)
		return noFault
	})
	change := f.mustPropose(second, workspace("yard", 0, 1))
	snapshot := second.Current()
	if change.Version != 4 || snapshot.Workspaces["desk"] == nil || snapshot.Workspaces["yard"] == nil {
		t.Fatalf("version %d, workspaces %v", change.Version, snapshot.Workspaces)
	}
}

// One operator deletes a workspace while another adds a profile to it through a VM
// that has not heard of the deletion. The second change is checked again against
// what the table holds and refused; the profile would belong to nobody.
func TestChangeIsValidatedAgainstTheNewest(t *testing.T) {
	Convey("Given a workspace whose deletion one VM has not heard of", t, func() {
		f := newFixture(t)
		first, second := f.store("vm-1"), f.store("vm-2")
		f.mustPropose(first, workspace("crews", 0, 1))
		So(second.Load(t.Context()), ShouldBeNil)
		f.mustPropose(first, Proposal{ID: "delete", Kind: config.EntityWorkspace, Name: "crews", IfRevision: 1})
		So(second.Current().Workspaces, ShouldContainKey, "crews")

		Convey("a profile of it is refused there", func() {
			_, err := second.Propose(t.Context(), permits("create", 0, time.Second))
			var invalid *config.ValidationError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(invalid.Findings[0].Path, ShouldEqual, "profile.permits.workspace")
		})
	})
}

// The operator's client repeats a request whose answer it never saw, through
// another VM. The same id answers the same change; another value with that id is
// refused, as the operator would take the old change for the new one.
func TestSameIDIsIdempotent(t *testing.T) {
	Convey("Given a change", t, func() {
		f := newFixture(t)
		first := f.store("vm-1")
		revision := f.withProfile(first)
		change := f.mustPropose(first, permits("shorten", revision, 2*time.Second))

		Convey("its repetition gets the same answer, on its VM and on another", func() {
			So(f.mustPropose(first, permits("shorten", revision, 2*time.Second)).Version, ShouldEqual, change.Version)
			So(f.mustPropose(f.store("vm-2"), permits("shorten", revision, 2*time.Second)).Version, ShouldEqual, change.Version)
			So(f.changeRows(), ShouldEqual, change.Version)
		})

		Convey("another value with its id is refused", func() {
			_, err := first.Propose(t.Context(), permits("shorten", revision, 3*time.Second))
			var reused *IDReusedError
			So(errors.As(err, &reused), ShouldBeTrue)
		})
	})
}

// A creation is repeated after somebody has deleted the entity, and a change after
// somebody has changed it, through a VM whose memory does not reach back to them.
// Both get the old answer: the entity that was deleted does not come back.
func TestLateRepetitionBringsNothingBack(t *testing.T) {
	f := newFixture(t)
	writer := f.storeWith("vm-1", Options{CompactAfter: 2})
	f.mustPropose(writer, workspace("crews", 0, 1))
	f.mustPropose(writer, workspace("crews", 1, 2))
	f.mustPropose(writer, Proposal{ID: "delete", Kind: config.EntityWorkspace, Name: "crews", IfRevision: 2})
	f.mustCompact(writer)
	for _, vm := range []string{"vm-1", "vm-2"} {
		s := f.store(vm)
		if err := s.Load(context.Background()); err != nil {
			t.Fatal(err)
		}
		if _, known := s.recentWithID("delete"); known {
			t.Fatal("the VM remembers the changes, so the test proves nothing")
		}
		created := f.mustPropose(s, workspace("crews", 0, 1))
		changed := f.mustPropose(s, workspace("crews", 1, 2))
		if created.Version != 1 || changed.Version != 2 || len(s.Current().Workspaces) != 0 {
			t.Fatalf("versions %d and %d, workspaces %v", created.Version, changed.Version, s.Current().Workspaces)
		}
	}
	if again := f.mustPropose(writer, workspace("crews", 0, 1)); again.Version != 1 {
		t.Fatalf("version %d", again.Version)
	}
}

// While an operator's creation is under way, somebody else makes the same creation
// with the same id and deletes the entity again, and compaction replaces what this
// VM remembers by a snapshot. The creation gets the old answer all the same.
func TestRepetitionUnderWayBringsNothingBack(t *testing.T) {
	f := newFixture(t)
	late, other := f.store("vm-1"), f.storeWith("vm-2", Options{CompactAfter: 2, RetainChanges: 20})
	f.mustPropose(other, workspace("yard", 0, 1))
	reads := 0
	f.table.pause = func() {
		// The second pause is the end of the search: the table is read next.
		if reads++; reads != 2 {
			return
		}
		f.table.pause = nil
		f.mustPropose(other, workspace("crews", 0, 1))
		f.mustPropose(other, Proposal{ID: "delete", Kind: config.EntityWorkspace, Name: "crews", IfRevision: 2})
		f.mustCompact(other)
		late.InstallSnapshot(other.Current())
	}
	change := f.mustPropose(late, workspace("crews", 0, 1))
	if change.Version != 2 || late.Current().Workspaces["crews"] != nil || late.Current().Version != 3 {
		t.Fatalf("version %d of %d, workspaces %v", change.Version, late.Current().Version, late.Current().Workspaces)
	}
}

// The store is out before the change: the operator is told at once that nothing
// was written, and what was in force stays in force.
func TestStoreOutBeforeTheChange(t *testing.T) {
	Convey("Given a table that is out, a change is refused and what is in force stays", t, func() {
		f := newFixture(t)
		s := f.store("vm-1")
		revision := f.withProfile(s)
		f.table.setOut(true)
		commits := f.table.commits
		_, err := s.Propose(t.Context(), permits("shorten", revision, 2*time.Second))
		var notWritten *NotWrittenError
		So(errors.As(err, &notWritten), ShouldBeTrue)
		So(errors.Is(err, platform.ErrUnavailable), ShouldBeTrue)
		So(f.table.commits, ShouldEqual, commits)
		So(deadlineOf(s), ShouldEqual, time.Second)
	})
}

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
