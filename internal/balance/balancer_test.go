package balance

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
)

// services returns a snapshot with n instances of one service.
func services(n, slots int) *config.Snapshot {
	s := config.NewSnapshot()
	for i := range n {
		name := fmt.Sprintf("t%03d", i)
		s.Targets[name] = &config.Target{Name: name, Kind: config.KindService, Service: "svc", Slots: slots, State: config.StateActive}
	}
	return s
}

// newBalancer returns a balancer with the targets of a snapshot.
func newBalancer(s Settings, snapshot *config.Snapshot) *Balancer {
	b := New(s, invariant.Strict())
	b.Update(snapshot)
	return b
}

// pickAll picks slots until none is left.
func pickAll(b *Balancer, u config.Urgency) (slots []*Slot) {
	for {
		s, err := b.Pick(Query{Pool: "svc", Urgency: u})
		if err != nil {
			return slots
		}
		slots = append(slots, s)
	}
}

// An unlimited number of bulk requests leaves slots on each target that normal and urgent
// requests can use, and normal requests leave some that only urgent ones can use.
func TestHeadroomOnEachTarget(t *testing.T) {
	for _, c := range []struct {
		targets, slots       int
		bulk, normal, urgent int
	}{
		{targets: 2, slots: 20, bulk: 34, normal: 2, urgent: 4},
		{targets: 2, slots: 4, bulk: 6, normal: 0, urgent: 2},
		{targets: 3, slots: 1, bulk: 2, normal: 0, urgent: 1},
		{targets: 1, slots: 1, bulk: 1, normal: 0, urgent: 0},
	} {
		b := newBalancer(Settings{}, services(c.targets, c.slots))
		bulk := len(pickAll(b, config.Bulk))
		normal := len(pickAll(b, config.Normal))
		urgent := len(pickAll(b, config.Urgent))
		if bulk != c.bulk || normal != c.normal || urgent != c.urgent {
			t.Errorf("%d targets of %d slots: bulk %d, normal %d, urgent %d, want %+v", c.targets, c.slots, bulk, normal, urgent, c)
		}
	}
	faulty := newBalancer(Settings{faults: faults{noHeadroom: true}}, services(2, 4))
	pickAll(faulty, config.Bulk)
	if got := len(pickAll(faulty, config.Urgent)); got != 0 {
		t.Errorf("without headroom urgent requests still found %d slots", got)
	}
}

// A target is drained, listed as leaving, reports that it leaves, or is removed while it
// serves a request. From then on it gets nothing new, and the request in flight keeps its
// slot. A request that only this target could serve gets ErrNoTarget.
func TestClosedTargetTakesNothingNew(t *testing.T) {
	drained := services(2, 4)
	copied := *drained.Targets["t000"]
	copied.State = config.StateDraining
	drained.Targets["t000"] = &copied
	removed := services(2, 4)
	delete(removed.Targets, "t000")
	for name, closing := range map[string]func(b *Balancer){
		"drained":         func(b *Balancer) { b.Update(drained) },
		"removed":         func(b *Balancer) { b.Update(removed) },
		"leaving":         func(b *Balancer) { b.SetLeaving(map[string]bool{"t000": true}) },
		"reports leaving": func(b *Balancer) { b.Report("t000", engine.LoadReport{Leaving: true}) },
	} {
		b := newBalancer(Settings{}, services(2, 4))
		held, err := b.Reserve("t000", config.Normal)
		if err != nil {
			t.Fatal(err)
		}
		closing(b)
		for _, s := range pickAll(b, config.Urgent) {
			if s.Target().Name == "t000" {
				t.Errorf("%s: the target got a request", name)
			}
		}
		if _, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent, Exclude: []string{"t001"}}); !errors.Is(err, ErrNoTarget) {
			t.Errorf("%s: %v, want ErrNoTarget", name, err)
		}
		if usable, _ := b.Usable("t000"); usable {
			t.Errorf("%s: usable", name)
		}
		held.Release(ResultOK)
		held.Release(ResultOK)
	}
}

// If the limits of a drained target are left open by a fault, the check after a slot was taken
// still prevents a dispatch, and reports a violation when DrainBound has passed.
func TestDispatchAfterDrainIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inv := invariant.NewRegistry(nil)
		b := New(Settings{faults: faults{noDrain: true}}, inv)
		b.Update(services(1, 4))
		b.SetLeaving(map[string]bool{"t000": true})
		time.Sleep(DefaultDrainBound + time.Millisecond)
		if _, err := b.Pick(Query{Pool: "svc"}); err == nil {
			t.Error("the drained target got a request")
		}
		if inv.Total() == 0 {
			t.Error("no violation was recorded")
		}
	})
}

// The last report was made before this VM sent three requests, so it contains them neither as
// active nor as queued. A peer sent two requests after it, too. The estimate counts them all.
func TestEstimateAddsWhatTheReportMisses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Settings{}, services(1, 20))
		early, _ := b.Reserve("t000", config.Urgent)
		b.PeerLoad("peer", map[string]int{"t000": 1})
		time.Sleep(time.Second)
		made := time.Now().Add(time.Hour) // the target's clock is an hour ahead
		b.Report("t000", engine.LoadReport{At: made, Active: 4})
		time.Sleep(time.Second)
		for range 3 {
			_, _ = b.Reserve("t000", config.Urgent)
		}
		b.PeerLoad("peer", map[string]int{"t000": 3})
		time.Sleep(500 * time.Millisecond)
		b.Report("t000", engine.LoadReport{At: made, Active: 4})
		dump := b.Dump().(Dump).Targets[0]
		// Active: 1 of ours, 1 of the peer's and 2 of others, then 2 more of the peer's.
		if dump.InFlight != 4 || dump.Others < 4.4 || dump.Others > 5 {
			t.Errorf("in flight %d, others %.2f, want 4 and nearly 5", dump.InFlight, dump.Others)
		}
		early.Release(ResultOK)
	})
}

// An engine answers busy although this VM assumed a free slot. It gets nothing more for a
// while, and waiting requests are notified when the hold ends.
func TestBusyTargetIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Settings{}, services(1, 20))
		var freed atomic.Int64
		b.OnFree(func(string) { freed.Add(1) })
		b.ReportBusy("t000")
		if _, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent}); !errors.Is(err, ErrNoCapacity) {
			t.Fatalf("pick with a busy target: %v", err)
		}
		time.Sleep(DefaultBusyHold)
		synctest.Wait()
		if freed.Load() != 1 {
			t.Errorf("OnFree was called %d times", freed.Load())
		}
		if _, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent}); err != nil {
			t.Error(err)
		}
	})
}

// 320 VMs share 600 targets. Each VM uses a small subset that does not change by itself, each
// target is used by the same number of VMs, and removing a target changes few subsets. With 6
// VMs the subset contains all targets.
func TestSubsetsCoverAllTargets(t *testing.T) {
	s := Settings{}.withDefaults()
	for _, n := range []int{600, 43} {
		members := groupConfigs(services(n, 64))[groupKey{pool: "svc"}]
		if got := len(inSubset(members, 6, 3, s)); got != n {
			t.Errorf("6 VMs: %d of %d targets", got, n)
		}
		used := map[string]int{}
		for vm := range 320 {
			subset := inSubset(members, 320, vm, s)
			for name := range subset {
				used[name]++
			}
			after := inSubset(members[1:], 320, vm, s)
			maps.DeleteFunc(subset, func(name string, _ bool) bool { return after[name] })
			if len(subset) > 2 {
				t.Errorf("VM %d lost %d targets when one was removed", vm, len(subset))
			}
		}
		counts := slices.Sorted(maps.Values(used))
		t.Logf("%d targets: each is used by %d to %d of 320 VMs", n, counts[0], counts[len(counts)-1])
		if len(used) != n || counts[len(counts)-1]-counts[0] > 1 {
			t.Errorf("%d of %d targets are used, by %d to %d VMs", len(used), n, counts[0], counts[len(counts)-1])
		}
	}
}
