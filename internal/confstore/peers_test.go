package confstore

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
)

// Peers' messages come late, twice and out of order. A VM serves one version after
// the other: what is old changes nothing, what leaves a gap waits for the rest, and
// an old snapshot never replaces a newer configuration.
func TestLateMessagesFromPeersChangeNothing(t *testing.T) {
	Convey("Given four changes, and a VM that has none of them", t, func() {
		f := newFixture(t)
		writer, s := f.store("vm-1"), f.store("vm-2")
		revision := f.withProfile(writer)
		old := writer.Current()
		f.mustPropose(writer, permits("second", revision, 2*time.Second))
		f.mustPropose(writer, permits("third", revision+1, 3*time.Second))
		all, ok := writer.ChangesAfter(0, 10)
		So(ok, ShouldBeTrue)
		So(all, ShouldHaveLength, 4)

		Convey("changes after a gap wait for the rest", func() {
			applied, err := s.ApplyChanges(all[2:])
			So(err, ShouldBeNil)
			So(applied, ShouldEqual, 0)
			So(s.Current().Version, ShouldEqual, 0)
		})

		Convey("changes in the wrong order are applied in the right one", func() {
			reversed := slices.Clone(all)
			slices.Reverse(reversed)
			applied, err := s.ApplyChanges(reversed)
			So(err, ShouldBeNil)
			So(applied, ShouldEqual, 4)

			Convey("after which neither old changes nor an old snapshot take anything back", func() {
				applied, err := s.ApplyChanges(all[:3])
				So(err, ShouldBeNil)
				So(applied, ShouldEqual, 4)
				So(s.InstallSnapshot(old), ShouldBeFalse)
				So(deadlineOf(s), ShouldEqual, 3*time.Second)
			})
		})
	})
}

// A peer of another system, or of a table that was restored from an old copy, has
// another change at a version that is in force here. It is reported, and what is in
// force stays.
func TestForkedHistoryIsNotMixedIn(t *testing.T) {
	Convey("Given two histories that differ at their first version", t, func() {
		f, g := newFixture(t), newFixture(t)
		here, there := f.store("vm-1"), g.store("vm-2")
		f.withProfile(here)
		g.mustPropose(there, workspace("other", 0, 1))

		Convey("the other one's change is reported and not applied", func() {
			foreign, _ := there.ChangesAfter(0, 10)
			_, err := here.ApplyChanges(foreign)
			var fork *ForkError
			So(errors.As(err, &fork), ShouldBeTrue)
			So(fork.Version, ShouldEqual, 1)
			So(here.Current().Workspaces, ShouldNotContainKey, "other")
		})
	})
}

// The store goes out right after a change is committed, before the other VMs could
// read it. They get it from the VM that committed it.
func TestStoreOutAfterTheChange(t *testing.T) {
	Convey("Given a change that a VM has not heard of when the table goes out", t, func() {
		f := newFixture(t)
		writer, s := f.store("vm-1"), f.store("vm-2")
		revision := f.withProfile(writer)
		So(s.Load(t.Context()), ShouldBeNil)
		f.mustPropose(writer, permits("shorten", revision, 2*time.Second))
		f.table.setOut(true)

		Convey("it cannot poll it and keeps what is in force", func() {
			So(s.Poll(t.Context()), ShouldNotBeNil)
			So(deadlineOf(s), ShouldEqual, time.Second)
		})

		Convey("it takes it from the VM that committed it, and the table agrees when it is back", func() {
			news, _ := writer.ChangesAfter(s.Current().Version, 10)
			_, err := s.ApplyChanges(news)
			So(err, ShouldBeNil)
			So(deadlineOf(s), ShouldEqual, 2*time.Second)
			f.table.setOut(false)
			So(s.Poll(t.Context()), ShouldBeNil)
			So(deadlineOf(s), ShouldEqual, 2*time.Second)
		})
	})
}

// A peer that was away for long asks for more than is kept: it is told to take the
// snapshot instead of getting changes that do not join on.
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
			t.Errorf("%s: everything is kept", name)
		}
		if recent, ok := s.ChangesAfter(6, 1); !ok || len(recent) != 1 || recent[0].Version != 7 {
			t.Errorf("%s: %v, %v", name, recent, ok)
		}
	}
}

// Subscribers see versions rise, also when changes come from several peers at once
// and a subscriber is slow, and a version counts as in force on this VM only when
// every subscriber has taken it in: else an operator would be told that a target is
// drained while the balancer still sends to it.
func TestSubscribersSeeVersionsInOrder(t *testing.T) {
	f := newFixture(t)
	s := f.store("vm-1")
	entered, leave := make(chan uint64), make(chan struct{})
	s.Subscribe(func(snapshot *config.Snapshot) {
		entered <- snapshot.Version
		<-leave
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
	<-done // the second one leaves the delivery to the first
	if s.Current().Version != 2 || s.InForceVersion() != 0 {
		t.Fatalf("current %d, in force %d", s.Current().Version, s.InForceVersion())
	}
	leave <- struct{}{}
	if version := <-entered; version != 2 || s.InForceVersion() != 1 {
		t.Fatalf("version %d, in force %d", version, s.InForceVersion())
	}
	leave <- struct{}{}
	<-done
	if s.InForceVersion() != 2 {
		t.Fatalf("in force %d", s.InForceVersion())
	}
}
