package confstore

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
)

// A client repeats a request through another VM because it did not receive the response.
// The same id must return the same change. A different value with that id must be refused,
// as the operator would mistake the old change for the new one.
func TestSameIDIsIdempotent(t *testing.T) {
	Convey("Given a change", t, func() {
		f := newFixture(t)
		first := f.store("vm-1")
		revision := f.withProfile(first)
		change := f.mustPropose(first, permitsProposal("shorten", revision, 2*time.Second))

		Convey("its repetition returns the same change, on the same and on another VM", func() {
			So(f.mustPropose(first, permitsProposal("shorten", revision, 2*time.Second)).Version, ShouldEqual, change.Version)
			So(f.mustPropose(f.store("vm-2"), permitsProposal("shorten", revision, 2*time.Second)).Version, ShouldEqual, change.Version)
			So(f.changeRows(), ShouldEqual, change.Version)
		})

		Convey("another value with its id is refused", func() {
			_, err := first.Propose(t.Context(), permitsProposal("shorten", revision, 3*time.Second))
			var reused *IDReusedError
			So(errors.As(err, &reused), ShouldBeTrue)
		})
	})
}

// A creation is repeated after the entity was deleted, and a change after the entity was
// changed again, through a VM that no longer has these changes in memory. Both repetitions
// must return the old change, and the deleted entity must not be created again.
func TestLateRepetitionBringsNothingBack(t *testing.T) {
	f := newFixture(t)
	writer := f.storeWith("vm-1", Options{CompactAfter: 2})
	f.mustPropose(writer, workspaceProposal("crews", 0, 1))
	f.mustPropose(writer, workspaceProposal("crews", 1, 2))
	f.mustPropose(writer, Proposal{ID: "delete", Kind: config.EntityWorkspace, Name: "crews", IfRevision: 2})
	f.mustCompact(writer)
	for _, vm := range []string{"vm-1", "vm-2"} {
		s := f.store(vm)
		if err := s.Load(context.Background()); err != nil {
			t.Fatal(err)
		}
		if _, known := s.recentWithID("delete"); known {
			t.Fatal("the VM has the changes in memory, so the table is not searched")
		}
		created := f.mustPropose(s, workspaceProposal("crews", 0, 1))
		changed := f.mustPropose(s, workspaceProposal("crews", 1, 2))
		if created.Version != 1 || changed.Version != 2 || len(s.Current().Workspaces) != 0 {
			t.Fatalf("versions %d and %d, workspaces %v", created.Version, changed.Version, s.Current().Workspaces)
		}
	}
	if again := f.mustPropose(writer, workspaceProposal("crews", 0, 1)); again.Version != 1 {
		t.Fatalf("version %d", again.Version)
	}
}

// While a creation is in progress, the same creation with the same id is committed through
// another VM, the entity is deleted, and a snapshot replaces the changes in this VM's
// memory. The creation must return the old change, and the entity must not be created
// again.
func TestRepetitionUnderWayBringsNothingBack(t *testing.T) {
	f := newFixture(t)
	late, other := f.store("vm-1"), f.storeWith("vm-2", Options{CompactAfter: 2, RetainChanges: 20})
	f.mustPropose(other, workspaceProposal("yard", 0, 1))
	reads := 0
	f.table.pause = func() {
		// The search ends with the second pause. The head is read next.
		if reads++; reads != 2 {
			return
		}
		f.table.pause = nil
		f.mustPropose(other, workspaceProposal("crews", 0, 1))
		f.mustPropose(other, Proposal{ID: "delete", Kind: config.EntityWorkspace, Name: "crews", IfRevision: 2})
		f.mustCompact(other)
		late.InstallSnapshot(other.Current())
	}
	change := f.mustPropose(late, workspaceProposal("crews", 0, 1))
	if change.Version != 2 || late.Current().Workspaces["crews"] != nil || late.Current().Version != 3 {
		t.Fatalf("version %d of %d, workspaces %v", change.Version, late.Current().Version, late.Current().Workspaces)
	}
}
