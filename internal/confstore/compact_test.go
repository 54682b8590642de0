package confstore

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var compactSoon = Options{CompactAfter: 4, RetainChanges: 2}

// fill makes n changes of one workspace and returns the last version.
func (f *fixture) fill(s *Store, n int) uint64 {
	f.t.Helper()
	for range n {
		_, revision := s.Current().Entity("workspace", "crews")
		f.mustPropose(s, workspace("crews", revision, int(s.Current().Version)+1))
	}
	return s.Current().Version
}

func (f *fixture) mustCompact(s *Store) {
	f.t.Helper()
	if err := s.Compact(context.Background()); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) changeRows() int {
	rows, _ := f.table.Scan(context.Background(), changeKey(0), changesEnd, 10_000)
	return len(rows)
}

func snapshotJSON(t *testing.T, s *Store) []byte {
	t.Helper()
	encoded, err := json.Marshal(s.Current())
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// A VM starts while the history is compacted: between its reading of the old
// snapshot and of the tail, a newer snapshot takes the place of the rows that it
// needs and old objects go. It reads the pointer again and ends with just what the
// others have in force, instead of a configuration with a hole.
func TestNewVMLoadsWhileCompactionRuns(t *testing.T) {
	f := newFixture(t)
	writer := f.storeWith("vm-1", compactSoon)
	f.fill(writer, 10)
	f.mustCompact(writer)
	overtaken := 0
	f.objects.onFetch = func(string) {
		if overtaken == 2 {
			return
		}
		overtaken++
		hook := f.objects.onFetch
		f.objects.onFetch = nil
		// Three compactions: the object that is about to be read is gone.
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
	if !bytes.Equal(snapshotJSON(t, s), snapshotJSON(t, writer)) || overtaken != 2 {
		t.Fatalf("version %d, want %d; overtaken %d times", s.Current().Version, writer.Current().Version, overtaken)
	}
	if rows := f.changeRows(); rows != 2 {
		t.Errorf("%d rows are left, want the 2 retained", rows)
	}
	if n := len(f.objects.objects); n != 1+keptObjects {
		t.Errorf("%d objects are left", n)
	}
}

// A VM that has fallen behind for longer than rows are kept finds a gap after its
// own version, takes the snapshot and goes on.
func TestPollAfterCompactionTakesTheSnapshot(t *testing.T) {
	Convey("Given a VM whose next row was compacted away", t, func() {
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

// The object store loses or damages the snapshot. Compaction notices before it
// drops a row, so the table still has the whole history; a row that was dropped
// first would be a change that reverts on every VM that starts.
func TestNoRowIsDroppedWithoutItsSnapshot(t *testing.T) {
	Convey("Given a snapshot that counts, was damaged since, and whose rows still stand", t, func() {
		f := newFixture(t)
		writer := f.storeWith("vm-1", compactSoon)
		f.fill(writer, 6)
		f.mustCompact(writer)
		f.fill(writer, 3)
		rows := f.changeRows()
		f.objects.damage()

		Convey("compaction that would drop them fails and drops none", func() {
			lazy := f.storeWith("vm-2", Options{CompactAfter: 1000, RetainChanges: 1})
			So(lazy.Compact(t.Context()), ShouldNotBeNil)
			So(f.changeRows(), ShouldEqual, rows)
		})
	})
}

// The object store takes a snapshot and keeps something else. Compaction reads it
// back and leaves the pointer where it was, so a new VM still gets everything.
func TestSnapshotIsReadBackBeforeItCounts(t *testing.T) {
	Convey("Given an object store that damages what it takes", t, func() {
		f := newFixture(t)
		s := f.storeWith("vm-1", compactSoon)
		f.fill(s, 6)
		f.objects.corrupt = true

		Convey("compaction fails, and a new VM still gets everything", func() {
			So(s.Compact(t.Context()), ShouldNotBeNil)
			fresh := f.store("vm-2")
			So(fresh.Load(t.Context()), ShouldBeNil)
			So(fresh.Current().Version, ShouldEqual, 6)
		})
	})
}

// The object store is out when a VM starts, and the table still has every change.
// The VM serves by them instead of waiting for the object store.
func TestNewVMLoadsFromTheTableAlone(t *testing.T) {
	Convey("Given a table with every change, and an object store without the snapshot", t, func() {
		f := newFixture(t)
		writer := f.storeWith("vm-1", Options{CompactAfter: 4, RetainChanges: 100})
		f.fill(writer, 9)
		f.mustCompact(writer)
		f.objects.lose()

		Convey("a VM that starts has everything, and its dump says so", func() {
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

// The lease holder compacts while the table goes out: compaction fails, and the
// next one goes on from what is there.
func TestCompactionDuringAnOutage(t *testing.T) {
	Convey("Given a lease holder whose transactions are lost", t, func() {
		f := newFixture(t)
		s := f.storeWith("vm-1", compactSoon)
		f.fill(s, 8)
		for _, what := range []fault{loseAnswer, loseRequest} {
			f.table.setFault(once(what))
			So(s.Compact(t.Context()), ShouldNotBeNil)
			f.fill(s, 4)
		}

		Convey("the next compaction drops what it may, and a new VM gets everything", func() {
			f.mustCompact(s)
			So(f.changeRows(), ShouldBeLessThanOrEqualTo, int(compactSoon.CompactAfter+compactSoon.RetainChanges))
			fresh := f.store("vm-2")
			So(fresh.Load(t.Context()), ShouldBeNil)
			So(fresh.Current().Version, ShouldEqual, s.Current().Version)
		})
	})
}
