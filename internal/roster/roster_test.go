package roster

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/membership"
)

// knownMembers is a membership in which everyone known has everything in force.
type knownMembers []membership.Member

func (k knownMembers) InForce(uint64) (confirmed, missing []string) {
	for _, m := range k {
		confirmed = append(confirmed, m.Name)
	}
	return confirmed, nil
}

func (k knownMembers) Members() []membership.Member { return k }

func newRoster(table *platformsim.Store, vm string, known ...string) *Roster {
	var members knownMembers
	for _, name := range known {
		members = append(members, membership.Member{Name: name})
	}
	return New(table, vm, members, zap.NewNop())
}

// An operator's change is about to be answered as accepted. A VM that nobody knows
// of yet has read the configuration before the change: it registered before, so it
// is named as missing, also when the rows were read a moment ago for another
// change. The first version trusted rows that were up to 200 ms old and accepted.
func TestUnknownVMWithARowIsMissing(t *testing.T) {
	Convey("Given a VM that accepts a change in an empty fleet", t, func() {
		table := platformsim.NewStore()
		accepting := newRoster(table, "entry-1")
		_, missing := accepting.InForce(1)
		So(missing, ShouldBeEmpty)

		Convey("a VM that registers a moment later is missing from the next change and from the older one", func() {
			So(newRoster(table, "entry-2").Register(t.Context()), ShouldBeNil)
			_, missing := accepting.InForce(2)
			So(missing, ShouldResemble, []string{"entry-2"})
			_, missing = accepting.InForce(1)
			So(missing, ShouldResemble, []string{"entry-2"})
		})
	})
}

// The store goes out between the commit and the reading of the rows. Nobody can
// have read an older configuration from it since, so membership alone answers and
// the operator is not kept waiting for the store.
func TestStoreOutageLeavesTheAnswerToMembership(t *testing.T) {
	Convey("Given a store that is out, membership alone says who has confirmed", t, func() {
		table := platformsim.NewStore()
		accepting := newRoster(table, "entry-1", "entry-3")
		table.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		confirmed, missing := accepting.InForce(1)
		So(confirmed, ShouldResemble, []string{"entry-3"})
		So(missing, ShouldBeEmpty)
	})
}

// A VM died without deleting its row. It holds up operators' changes until the
// sweep has seen it dead or unknown for long enough, and not longer; the rows of
// VMs that serve stay.
func TestSweepDeletesRowsOfTheDeadAlone(t *testing.T) {
	Convey("Given three VMs with rows, of which membership knows two", t, func() {
		table := platformsim.NewStore()
		for _, vm := range []string{"entry-1", "entry-2", "entry-3"} {
			So(newRoster(table, vm).Register(t.Context()), ShouldBeNil)
		}
		sweeping := newRoster(table, "entry-1", "entry-3")
		start := time.Now()
		for after := time.Duration(0); after < forgetAfter; after += sweepGap {
			So(sweeping.Sweep(t.Context(), start.Add(after)), ShouldBeNil)
		}

		Convey("the third one still holds up changes just before the bound", func() {
			So(sweeping.Sweep(t.Context(), start.Add(forgetAfter-time.Second)), ShouldBeNil)
			_, missing := sweeping.InForce(1)
			So(missing, ShouldResemble, []string{"entry-2"})
		})

		Convey("its row alone is deleted at the bound", func() {
			So(sweeping.Sweep(t.Context(), start.Add(forgetAfter)), ShouldBeNil)
			rows, err := table.Scan(t.Context(), rowPrefix, rowEnd, scanLimit)
			So(err, ShouldBeNil)
			So(names(rows), ShouldResemble, []string{"entry-1", "entry-3"})
		})

		Convey("a doubt from before a pause of the sweep does not count", func() {
			So(sweeping.Sweep(t.Context(), start.Add(2*forgetAfter)), ShouldBeNil)
			_, missing := sweeping.InForce(1)
			So(missing, ShouldResemble, []string{"entry-2"})
		})
	})
}

// A VM that runs has lost its row: it was cut off from its peers for longer than the
// sweep waits. When it is cut off again, a change could be accepted without it while
// it serves. It finds at its next poll that the row is gone, writes it again, and is
// waited for as before.
func TestVMWritesItsSweptRowAgain(t *testing.T) {
	Convey("Given a VM whose row was deleted while it runs", t, func() {
		table := platformsim.NewStore()
		running := newRoster(table, "entry-2")
		So(running.Register(t.Context()), ShouldBeNil)
		So(newRoster(table, "entry-2").Unregister(t.Context()), ShouldBeNil)
		So(running.Ensure(t.Context()), ShouldBeNil)

		Convey("a VM that stops leaves no row behind, also when it polls once more", func() {
			So(running.Unregister(t.Context()), ShouldBeNil)
			So(running.Ensure(t.Context()), ShouldBeNil)
			_, missing := newRoster(table, "entry-1").InForce(1)
			So(missing, ShouldBeEmpty)
		})

		Convey("another VM waits for it again", func() {
			_, missing := newRoster(table, "entry-1").InForce(1)
			So(missing, ShouldResemble, []string{"entry-2"})
		})
	})
}

// An operator drains a target and is told that it is in force, while a VM still
// sends to it. The VM is cut off from its peers, which hold it dead, but neither from
// callers nor from the table, and reads the drain there seconds later. While it has a
// row it is missing until its next poll must have happened, and not longer: a VM that
// did die may not hold up changes for good.
func TestVMCutOffFromItsPeersIsMissingUntilItsNextPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformsim.NewStore()
		accepting := New(table, "entry-1", knownMembers{{Name: "entry-2", State: membership.Dead}}, zap.NewNop())
		if err := newRoster(table, "entry-2").Register(t.Context()); err != nil {
			t.Fatal(err)
		}
		missingAfter := func(wait time.Duration, version uint64) bool {
			time.Sleep(wait)
			_, missing := accepting.InForce(version)
			return slices.Equal(missing, []string{"entry-2"})
		}
		if !missingAfter(0, 1) || !missingAfter(unheardGrace-time.Second, 1) {
			t.Error("accepted before the VM's poll")
		}
		if !missingAfter(0, 2) {
			t.Error("a newer change was accepted with the older one's reading")
		}
		if missingAfter(time.Second, 1) {
			t.Error("held up for longer than the VM's poll")
		}
		if missingAfter(unheardGrace, 2) {
			t.Error("the newer change was held up for longer than the VM's poll")
		}
	})
}

// A target that is to be reloaded takes no work for good, and an operator's change is
// never in force. A VM wrote its row and died before this one knew of it; the rows
// were read once for the change, and the row stayed in what this VM
// remembered after the sweep had deleted it.
func TestSweptRowHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformsim.NewStore()
		if err := newRoster(table, "entry-2").Register(t.Context()); err != nil {
			t.Fatal(err)
		}
		accepting := newRoster(table, "entry-1")
		if _, missing := accepting.InForce(1); !slices.Equal(missing, []string{"entry-2"}) {
			t.Errorf("missing before the sweep: %v", missing)
		}
		for _, after := range []time.Duration{0, sweepGap, forgetAfter} {
			if err := accepting.Sweep(t.Context(), time.Now().Add(after)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(rereadEvery)
		if _, missing := accepting.InForce(1); len(missing) > 0 {
			t.Errorf("missing after the sweep: %v", missing)
		}
	})
}

// The table goes out while a change waits for a VM that peers hold dead. The VM, cut
// off with some of its peers, cannot poll and serves on under the older configuration:
// the change is pending, however long the outage takes, and in force afterwards.
func TestOutageIsNoTimeToPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformsim.NewStore()
		accepting := New(table, "entry-1", knownMembers{{Name: "entry-2", State: membership.Dead}}, zap.NewNop())
		if err := newRoster(table, "entry-2").Register(t.Context()); err != nil {
			t.Fatal(err)
		}
		accepting.InForce(1)
		table.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		time.Sleep(time.Hour)
		if _, missing := accepting.InForce(1); !slices.Equal(missing, []string{"entry-2"}) {
			t.Error("accepted during the outage")
		}
		table.Faults.Set(platformsim.Order{})
		time.Sleep(time.Second)
		if _, missing := accepting.InForce(1); !slices.Equal(missing, []string{"entry-2"}) {
			t.Error("accepted before the VM could poll again")
		}
		time.Sleep(unheardGrace)
		if _, missing := accepting.InForce(1); len(missing) > 0 {
			t.Error("still missing after the outage")
		}
	})
}
