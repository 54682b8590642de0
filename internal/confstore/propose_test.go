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

// Two operators change the profile that both have read. The second proposal must fail with
// a conflict that contains the current profile. Without the check, the change of the first
// operator would be lost silently.
func TestTwoOperatorsOnOneProfile(t *testing.T) {
	Convey("Given a profile that two operators have read and one has changed", t, func() {
		f := newFixture(t)
		first, second := f.store("vm-1"), f.store("vm-2")
		revision := f.withProfile(first)
		f.mustPropose(first, permitsProposal("first", revision, 2*time.Second))

		Convey("the second one's change is a conflict that contains the current profile", func() {
			_, err := second.Propose(t.Context(), permitsProposal("second", revision, 3*time.Second))
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

// Operators concurrently change different entities through two VMs. The second transaction
// is refused because the head row has changed. The second VM must read the newer change,
// validate again and retry, so that both changes are committed without a conflict.
func TestChangesOfDifferentEntitiesDoNotConflict(t *testing.T) {
	f := newFixture(t)
	first, second := f.store("vm-1"), f.store("vm-2")
	f.withProfile(first)
	raced := false
	f.table.setFault(func(txn platform.Txn) fault {
		if raced {
			return noFault
		}
		raced = true
		// The other operator's change is committed between the read and the write.
		other := config.Change{ID: "other", Author: "eva", Kind: config.EntityWorkspace, Name: "desk", Value: []byte(`{}`)}
		newest, _ := decodeHead(f.table.rows[headKey])
		other.Version = newest.Version + 1
		a, _ := first.transaction(other, newest)
		_ = f.table.apply(a.txn)
		return noFault
	})
	change := f.mustPropose(second, workspaceProposal("yard", 0, 1))
	snapshot := second.Current()
	if change.Version != 4 || snapshot.Workspaces["desk"] == nil || snapshot.Workspaces["yard"] == nil {
		t.Fatalf("version %d, workspaces %v", change.Version, snapshot.Workspaces)
	}
}

// One operator deletes a workspace, and another adds a profile to it through a VM that has
// not read the deletion. The second change must be validated against the newest version and
// refused. Otherwise the profile would belong to no workspace.
func TestChangeIsValidatedAgainstNewestVersion(t *testing.T) {
	Convey("Given a workspace whose deletion one VM has not read", t, func() {
		f := newFixture(t)
		first, second := f.store("vm-1"), f.store("vm-2")
		f.mustPropose(first, workspaceProposal("crews", 0, 1))
		So(second.Load(t.Context()), ShouldBeNil)
		f.mustPropose(first, Proposal{ID: "delete", Kind: config.EntityWorkspace, Name: "crews", IfRevision: 1})
		So(second.Current().Workspaces, ShouldContainKey, "crews")

		Convey("a profile of the workspace is refused on this VM", func() {
			_, err := second.Propose(t.Context(), permitsProposal("create", 0, time.Second))
			var invalid *config.ValidationError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(invalid.Findings[0].Path, ShouldEqual, "profile.permits.workspace")
		})
	})
}

// The table is unavailable when a change is proposed. The proposal must report immediately
// that nothing was written, and the configuration in force must not change.
func TestTableUnavailableBeforeChange(t *testing.T) {
	Convey("Given a table that is unavailable, a change is refused and the snapshot in force stays", t, func() {
		f := newFixture(t)
		s := f.store("vm-1")
		revision := f.withProfile(s)
		f.table.setUnavailable(true)
		commits := f.table.commits
		_, err := s.Propose(t.Context(), permitsProposal("shorten", revision, 2*time.Second))
		var notWritten *NotWrittenError
		So(errors.As(err, &notWritten), ShouldBeTrue)
		So(errors.Is(err, platform.ErrUnavailable), ShouldBeTrue)
		So(f.table.commits, ShouldEqual, commits)
		So(deadlineOf(s), ShouldEqual, time.Second)
	})
}
