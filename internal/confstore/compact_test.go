package confstore

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// compactSoon makes compaction write a snapshot after 4 changes and retain 2 rows.
var compactSoon = Options{CompactAfter: 4, RetainChanges: 2}

// fill makes n changes of one workspace and returns the last version.
func (f *fixture) fill(s *Store, n int) uint64 {
	f.t.Helper()
	for range n {
		_, revision := s.Current().Entity("workspace", "crews")
		f.mustPropose(s, workspaceProposal("crews", revision, int(s.Current().Version)+1))
	}
	return s.Current().Version
}

// mustCompact compacts the history and fails the test on an error.
func (f *fixture) mustCompact(s *Store) {
	f.t.Helper()
	if err := s.Compact(context.Background()); err != nil {
		f.t.Fatal(err)
	}
}

// changeRows returns the number of rows of changes in the table.
func (f *fixture) changeRows() int {
	rows, _ := f.table.Scan(context.Background(), changeKey(0), changesEnd, 10_000)
	return len(rows)
}

// snapshotJSON returns the snapshot in force as JSON.
func snapshotJSON(t *testing.T, s *Store) []byte {
	t.Helper()
	encoded, err := json.Marshal(s.Current())
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// The history is compacted while a VM starts: after the VM has read the pointer to a
// snapshot, a newer snapshot replaces the rows that it needs, and old objects are deleted.
// The VM must read the pointer again and end with the configuration of the other VMs,
// instead of one in which changes are missing.
func TestNewVMLoadsWhileCompactionRuns(t *testing.T) {
	f := newFixture(t)
	writer := f.storeWith("vm-1", compactSoon)
	f.fill(writer, 10)
	f.mustCompact(writer)
	compactedReads := 0
	f.objects.onFetch = func(string) {
		if compactedReads == 2 {
			return
		}
		compactedReads++
		hook := f.objects.onFetch
		f.objects.onFetch = nil
		// After three compactions the object that is about to be read is deleted.
		for range 3 {
			f.fill(writer, 6)
			f.mustCompact(writer)
		}
		f.objects.onFetch = hook
	}
	s := f.store("vm-2")
	if err := s.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snapshotJSON(t, s), snapshotJSON(t, writer)) || compactedReads != 2 {
		t.Fatalf("version %d, want %d; compacted during %d reads", s.Current().Version, writer.Current().Version, compactedReads)
	}
	if rows := f.changeRows(); rows != 2 {
		t.Errorf("%d rows are left, want the 2 retained", rows)
	}
	if n := len(f.objects.objects); n != 1+maxPreviousObjects {
		t.Errorf("%d objects are left", n)
	}
}

// A VM is so far behind that compaction has dropped rows that it needs. A poll must find
// the gap after the VM's version, install the snapshot and continue from there.
func TestPollAfterCompactionTakesTheSnapshot(t *testing.T) {
	Convey("Given a VM whose next row was dropped by compaction", t, func() {
		f := newFixture(t)
		writer, s := f.storeWith("vm-1", compactSoon), f.store("vm-2")
		f.fill(writer, 1)
		So(s.Load(t.Context()), ShouldBeNil)
		f.fill(writer, 12)
		f.mustCompact(writer)
		f.fill(writer, 2)

		Convey("a poll brings it to the newest version", func() {
			So(s.Poll(t.Context()), ShouldBeNil)
			So(s.Current().Version, ShouldEqual, 15)
		})
	})
}

// The object store loses or damages the snapshot. Compaction must detect this before it
// drops a row, so that the table still holds the whole history. If the row were dropped,
// its change would be reverted on every VM that starts.
func TestNoRowIsDroppedWithoutItsSnapshot(t *testing.T) {
	Convey("Given a snapshot that was damaged after its pointer was written, and the rows of its changes", t, func() {
		f := newFixture(t)
		writer := f.storeWith("vm-1", compactSoon)
		f.fill(writer, 6)
		f.mustCompact(writer)
		f.fill(writer, 3)
		rows := f.changeRows()
		f.objects.damageAll()

		Convey("compaction that would drop them fails and drops none", func() {
			dropping := f.storeWith("vm-2", Options{CompactAfter: 1000, RetainChanges: 1})
			So(dropping.Compact(t.Context()), ShouldNotBeNil)
			So(f.changeRows(), ShouldEqual, rows)
		})
	})
}

// The object store damages a snapshot while it stores it. Compaction must detect this
// when it reads the snapshot back and must not change the pointer, so that a VM that
// starts still loads all changes.
func TestSnapshotIsReadBackBeforeItCounts(t *testing.T) {
	Convey("Given an object store that damages what it stores", t, func() {
		f := newFixture(t)
		s := f.storeWith("vm-1", compactSoon)
		f.fill(s, 6)
		f.objects.corrupt = true

		Convey("compaction fails, and a new VM still loads all changes", func() {
			So(s.Compact(t.Context()), ShouldNotBeNil)
			fresh := f.store("vm-2")
			So(fresh.Load(t.Context()), ShouldBeNil)
			So(fresh.Current().Version, ShouldEqual, 6)
		})
	})
}

// The snapshot can't be read when a VM starts, but the table still holds all changes. The
// VM must load the changes from the table instead of failing.
func TestNewVMLoadsFromTheTableAlone(t *testing.T) {
	Convey("Given a table with all changes, and an object store without the snapshot", t, func() {
		f := newFixture(t)
		writer := f.storeWith("vm-1", Options{CompactAfter: 4, RetainChanges: 100})
		f.fill(writer, 9)
		f.mustCompact(writer)
		f.objects.deleteAll()

		Convey("a VM that starts loads all changes, and its dump shows them", func() {
			s := f.store("vm-2")
			So(s.Load(t.Context()), ShouldBeNil)
			So(s.Current().Version, ShouldEqual, 9)
			dump := s.Dump().(Dump)
			So(dump.Version, ShouldEqual, 9)
			So(dump.InForce, ShouldEqual, 9)
			So(dump.RecentFrom, ShouldEqual, 1)
			So(dump.LastRead.IsZero(), ShouldBeFalse)
		})
	})
}

// A transaction of a compaction, or the response to it, is lost. The compaction fails,
// and the next one must continue from the state that the table has then.
func TestCompactionDuringAnOutage(t *testing.T) {
	Convey("Given a lease holder whose transactions or their responses are lost", t, func() {
		f := newFixture(t)
		s := f.storeWith("vm-1", compactSoon)
		f.fill(s, 8)
		for _, lost := range []fault{loseAnswer, loseRequest} {
			f.table.setFault(firstCommit(lost))
			So(s.Compact(t.Context()), ShouldNotBeNil)
			f.fill(s, 4)
		}

		Convey("the next compaction drops the rows that need not be retained, and a new VM loads all changes", func() {
			f.mustCompact(s)
			So(f.changeRows(), ShouldBeLessThanOrEqualTo, int(compactSoon.CompactAfter+compactSoon.RetainChanges))
			fresh := f.store("vm-2")
			So(fresh.Load(t.Context()), ShouldBeNil)
			So(fresh.Current().Version, ShouldEqual, s.Current().Version)
		})
	})
}
