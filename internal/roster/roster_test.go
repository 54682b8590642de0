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

// knownMembers is a membership in which every member has every version in force.
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

// A change must not be accepted while a VM that membership does not know yet has the old
// configuration. The VM registered before it read the configuration, so it has to be reported as
// missing, even if the rows were scanned a moment ago for another change. A cache of the rows that
// is trusted for 200 ms fails this test.
func TestUnknownVMWithARowIsMissing(t *testing.T) {
	Convey("Given a VM that accepts a change in an otherwise empty fleet", t, func() {
		table := platformsim.NewStore()
		accepting := newRoster(table, "entry-1")
		_, missing := accepting.InForce(1)
		So(missing, ShouldBeEmpty)

		Convey("a VM that registers a moment later is missing for the next change and for the earlier one", func() {
			So(newRoster(table, "entry-2").Register(t.Context()), ShouldBeNil)
			_, missing := accepting.InForce(2)
			So(missing, ShouldResemble, []string{"entry-2"})
			_, missing = accepting.InForce(1)
			So(missing, ShouldResemble, []string{"entry-2"})
		})
	})
}

// The store becomes unavailable between the commit and the scan of the rows. No VM can have read an
// older configuration from it since, so membership alone decides and the operator does not wait for
// the store.
func TestMembershipDecidesDuringStoreOutage(t *testing.T) {
	Convey("Given a store that is unavailable, membership alone decides which VMs have confirmed", t, func() {
		table := platformsim.NewStore()
		accepting := newRoster(table, "entry-1", "entry-3")
		table.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable})
		confirmed, missing := accepting.InForce(1)
		So(confirmed, ShouldResemble, []string{"entry-3"})
		So(missing, ShouldBeEmpty)
	})
}

// A VM died without deleting its row. It must delay changes until sweeps have found it dead or
// unknown for rowRetention, and no longer. The rows of VMs that serve must stay.
func TestSweepDeletesRowsOfTheDeadAlone(t *testing.T) {
	Convey("Given three VMs with rows, of which membership knows two", t, func() {
		table := platformsim.NewStore()
		for _, vm := range []string{"entry-1", "entry-2", "entry-3"} {
			So(newRoster(table, vm).Register(t.Context()), ShouldBeNil)
		}
		sweeping := newRoster(table, "entry-1", "entry-3")
		start := time.Now()
		for after := time.Duration(0); after < rowRetention; after += maxSweepGap {
			So(sweeping.Sweep(t.Context(), start.Add(after)), ShouldBeNil)
		}

		Convey("the unknown VM still delays changes just before the retention ends", func() {
			So(sweeping.Sweep(t.Context(), start.Add(rowRetention-time.Second)), ShouldBeNil)
			_, missing := sweeping.InForce(1)
			So(missing, ShouldResemble, []string{"entry-2"})
		})

		Convey("only its row is deleted when the retention ends", func() {
			So(sweeping.Sweep(t.Context(), start.Add(rowRetention)), ShouldBeNil)
			rows, err := table.Scan(t.Context(), rowPrefix, rowEnd, scanLimit)
			So(err, ShouldBeNil)
			So(names(rows), ShouldResemble, []string{"entry-1", "entry-3"})
		})

		Convey("what was seen before a long pause of the sweep does not count", func() {
			So(sweeping.Sweep(t.Context(), start.Add(2*rowRetention)), ShouldBeNil)
			_, missing := sweeping.InForce(1)
			So(missing, ShouldResemble, []string{"entry-2"})
		})
	})
}

// A running VM lost its row, because it was cut off from its peers for longer than rowRetention. If
// it is cut off again, a change could be accepted without it while it serves. At its next poll it
// must find that the row is missing and write it again, so that changes wait for it as before.
func TestVMWritesItsSweptRowAgain(t *testing.T) {
	Convey("Given a VM whose row was deleted while it runs", t, func() {
		table := platformsim.NewStore()
		running := newRoster(table, "entry-2")
		So(running.Register(t.Context()), ShouldBeNil)
		So(newRoster(table, "entry-2").Unregister(t.Context()), ShouldBeNil)
		So(running.Ensure(t.Context()), ShouldBeNil)

		Convey("a VM that stops leaves no row, even if it polls once more", func() {
			So(running.Unregister(t.Context()), ShouldBeNil)
			So(running.Ensure(t.Context()), ShouldBeNil)
			_, missing := newRoster(table, "entry-1").InForce(1)
			So(missing, ShouldBeEmpty)
		})

		Convey("a change on another VM waits for it again", func() {
			_, missing := newRoster(table, "entry-1").InForce(1)
			So(missing, ShouldResemble, []string{"entry-2"})
		})
	})
}

// A drain must not be reported as in force while a VM still sends to the target. The VM is held
// dead by its peers, but callers and the table still reach it, and it reads the drain from the
// table seconds later. While it has a row, it must be missing until its next poll must have taken
// place, and no longer: a VM that did die must not delay changes for good.
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
		if !missingAfter(0, 1) || !missingAfter(deadVMGrace-time.Second, 1) {
			t.Error("accepted before the VM's poll")
		}
		if !missingAfter(0, 2) {
			t.Error("a newer change was accepted by the scan for the older one")
		}
		if missingAfter(time.Second, 1) {
			t.Error("delayed beyond the VM's poll")
		}
		if missingAfter(deadVMGrace, 2) {
			t.Error("the newer change was delayed beyond the VM's poll")
		}
	})
}

// A VM wrote its row and died before the accepting VM knew of it. Once a sweep has deleted the row,
// the accepting VM must not continue to use it from its cache. Otherwise the change is never in
// force, and a target that waits for its reload gets no work for good.
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
		for _, after := range []time.Duration{0, maxSweepGap, rowRetention} {
			if err := accepting.Sweep(t.Context(), time.Now().Add(after)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(rescanInterval)
		if _, missing := accepting.InForce(1); len(missing) > 0 {
			t.Errorf("missing after the sweep: %v", missing)
		}
	})
}

// The table becomes unavailable while a change waits for a VM that its peers hold dead. The VM, cut
// off together with some of its peers, cannot poll and keeps serving the older configuration. The
// change must be pending for the whole outage and be in force afterwards.
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
		time.Sleep(deadVMGrace)
		if _, missing := accepting.InForce(1); len(missing) > 0 {
			t.Error("still missing after the outage")
		}
	})
}
