package confstore

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

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
