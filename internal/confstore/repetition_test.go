package confstore

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
)

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
