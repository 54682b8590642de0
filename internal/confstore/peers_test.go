package confstore

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
)

// Messages of peers arrive late, twice and out of order. A VM must apply the versions in
// order: old changes have no effect, changes after a gap are not applied, and an old
// snapshot never replaces a newer one.
func TestLateMessagesFromPeersChangeNothing(t *testing.T) {
	Convey("Given four changes, and a VM that has none of them", t, func() {
		f := newFixture(t)
		writer, s := f.store("vm-1"), f.store("vm-2")
		revision := f.withProfile(writer)
		old := writer.Current()
		f.mustPropose(writer, permitsProposal("second", revision, 2*time.Second))
		f.mustPropose(writer, permitsProposal("third", revision+1, 3*time.Second))
		all, ok := writer.ChangesAfter(0, 10)
		So(ok, ShouldBeTrue)
		So(all, ShouldHaveLength, 4)

		Convey("changes after a gap are not applied", func() {
			applied, err := s.ApplyChanges(all[2:])
			So(err, ShouldBeNil)
			So(applied, ShouldEqual, 0)
			So(s.Current().Version, ShouldEqual, 0)
		})

		Convey("changes out of order are applied in order", func() {
			reversed := slices.Clone(all)
			slices.Reverse(reversed)
			applied, err := s.ApplyChanges(reversed)
			So(err, ShouldBeNil)
			So(applied, ShouldEqual, 4)

			Convey("after which neither old changes nor an old snapshot have an effect", func() {
				applied, err := s.ApplyChanges(all[:3])
				So(err, ShouldBeNil)
				So(applied, ShouldEqual, 4)
				So(s.InstallSnapshot(old), ShouldBeFalse)
				So(deadlineOf(s), ShouldEqual, 3*time.Second)
			})
		})
	})
}

// A peer that belongs to another system, or to a table that was restored from an old copy,
// has a different change at a version that is in force on this VM. This must be reported,
// and the configuration in force must not change.
func TestForkedHistoryIsNotApplied(t *testing.T) {
	Convey("Given two histories that differ at their first version", t, func() {
		f, g := newFixture(t), newFixture(t)
		local, remote := f.store("vm-1"), g.store("vm-2")
		f.withProfile(local)
		g.mustPropose(remote, workspaceProposal("other", 0, 1))

		Convey("the change of the other history is reported and not applied", func() {
			foreign, _ := remote.ChangesAfter(0, 10)
			_, err := local.ApplyChanges(foreign)
			var fork *ForkError
			So(errors.As(err, &fork), ShouldBeTrue)
			So(fork.Version, ShouldEqual, 1)
			So(local.Current().Workspaces, ShouldNotContainKey, "other")
		})
	})
}

// The table becomes unavailable after a change was committed and before the other VMs have
// read it. They must receive it from the VM that committed it.
func TestTableUnavailableAfterChange(t *testing.T) {
	Convey("Given a change that a VM has not read when the table becomes unavailable", t, func() {
		f := newFixture(t)
		writer, s := f.store("vm-1"), f.store("vm-2")
		revision := f.withProfile(writer)
		So(s.Load(t.Context()), ShouldBeNil)
		f.mustPropose(writer, permitsProposal("shorten", revision, 2*time.Second))
		f.table.setUnavailable(true)

		Convey("a poll fails and the snapshot in force stays", func() {
			So(s.Poll(t.Context()), ShouldNotBeNil)
			So(deadlineOf(s), ShouldEqual, time.Second)
		})

		Convey("it applies the change from the VM that committed it, and a poll after the outage confirms it", func() {
			changes, _ := writer.ChangesAfter(s.Current().Version, 10)
			_, err := s.ApplyChanges(changes)
			So(err, ShouldBeNil)
			So(deadlineOf(s), ShouldEqual, 2*time.Second)
			f.table.setUnavailable(false)
			So(s.Poll(t.Context()), ShouldBeNil)
			So(deadlineOf(s), ShouldEqual, 2*time.Second)
		})
	})
}

// A peer that was disconnected for long requests changes that are no longer in memory. It
// must be referred to the snapshot instead of receiving changes after a gap.
func TestHistoryInMemoryIsBounded(t *testing.T) {
	f := newFixture(t)
	for name, o := range map[string]Options{"count": {RecentChanges: 3}, "bytes": {RecentBytes: 700}} {
		s := f.storeWith("vm-1", o)
		for i := range uint64(8) {
			change := config.Change{
				Version: i + 1, ID: changeKey(i), Kind: config.EntityWorkspace, Name: "crews", Value: []byte(`{}`),
			}
			if _, err := s.ApplyChanges([]config.Change{change}); err != nil {
				t.Fatal(err)
			}
		}
		if _, ok := s.ChangesAfter(1, 10); ok {
			t.Errorf("%s: all changes are still in memory", name)
		}
		if recent, ok := s.ChangesAfter(6, 1); !ok || len(recent) != 1 || recent[0].Version != 7 {
			t.Errorf("%s: got %v, %v, want change 7", name, recent, ok)
		}
	}
}

// Subscribers must receive versions in ascending order, even if changes arrive from several
// peers concurrently and a subscriber is slow. A version is in force on this VM only when
// it was delivered to every subscriber. Otherwise an operator would receive the
// confirmation that a target is drained while the balancer still sends requests to it.
func TestSubscribersSeeVersionsInOrder(t *testing.T) {
	f := newFixture(t)
	s := f.store("vm-1")
	entered, proceed := make(chan uint64), make(chan struct{})
	s.Subscribe(func(snapshot *config.Snapshot) {
		entered <- snapshot.Version
		<-proceed
	})
	writer := f.store("vm-2")
	f.withProfile(writer)
	changes, _ := writer.ChangesAfter(0, 10)
	done := make(chan struct{}, 2)
	apply := func(batch []config.Change) {
		if _, err := s.ApplyChanges(batch); err != nil {
			t.Error(err)
		}
		done <- struct{}{}
	}
	go apply(changes[:1])
	if version := <-entered; version != 1 || s.InForceVersion() != 0 {
		t.Fatalf("version %d, in force %d", version, s.InForceVersion())
	}
	go apply(changes)
	<-done // the second goroutine leaves the delivery to the first
	if s.Current().Version != 2 || s.InForceVersion() != 0 {
		t.Fatalf("current %d, in force %d", s.Current().Version, s.InForceVersion())
	}
	proceed <- struct{}{}
	if version := <-entered; version != 2 || s.InForceVersion() != 1 {
		t.Fatalf("version %d, in force %d", version, s.InForceVersion())
	}
	proceed <- struct{}{}
	<-done
	if s.InForceVersion() != 2 {
		t.Fatalf("in force %d", s.InForceVersion())
	}
}
