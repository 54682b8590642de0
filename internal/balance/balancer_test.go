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

func services(n, slots int) *config.Snapshot {
	s := config.NewSnapshot()
	for i := range n {
		name := fmt.Sprintf("t%03d", i)
		s.Targets[name] = &config.Target{Name: name, Kind: config.KindService, Service: "svc", Slots: slots, State: config.StateActive}
	}
	return s
}

func newBalancer(s Settings, snapshot *config.Snapshot) *Balancer {
	b := New(s, invariant.Strict())
	b.Update(snapshot)
	return b
}

// pickAll takes slots until none is left.
func pickAll(b *Balancer, u config.Urgency) (slots []*Slot) {
	for {
		s, err := b.Pick(Query{Pool: "svc", Urgency: u})
		if err != nil {
			return slots
		}
		slots = append(slots, s)
	}
}

// Bulk comes without end. On each target it leaves slots that normal and urgent
// requests find free, and normal ones leave some that only urgent ones may take.
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
		t.Errorf("without headroom urgent still found %d slots", got)
	}
}

// A target is drained, shown as leaving, says so itself, or is removed, each while
// it works on a request. It takes nothing new from that moment, the request in
// hand keeps its slot, and a request that only that target could serve is told so.
func TestClosedTargetTakesNothingNew(t *testing.T) {
	drained := services(2, 4)
	copied := *drained.Targets["t000"]
	copied.State = config.StateDraining
	drained.Targets["t000"] = &copied
	removed := services(2, 4)
	delete(removed.Targets, "t000")
	for name, closing := range map[string]func(b *Balancer){
		"drained":        func(b *Balancer) { b.Update(drained) },
		"removed":        func(b *Balancer) { b.Update(removed) },
		"leaving":        func(b *Balancer) { b.SetLeaving(map[string]bool{"t000": true}) },
		"says it leaves": func(b *Balancer) { b.Report("t000", engine.LoadReport{Leaving: true}) },
	} {
		b := newBalancer(Settings{}, services(2, 4))
		held, err := b.Reserve("t000", config.Normal)
		if err != nil {
			t.Fatal(err)
		}
		closing(b)
		for _, s := range pickAll(b, config.Urgent) {
			if s.Target().Name == "t000" {
				t.Errorf("%s: the target got new work", name)
			}
		}
		if _, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent, Exclude: []string{"t001"}}); !errors.Is(err, ErrNoTarget) {
			t.Errorf("%s: %v, want no target", name, err)
		}
		if usable, _ := b.Usable("t000"); usable {
			t.Errorf("%s: usable", name)
		}
		held.Release(ResultOK)
		held.Release(ResultOK)
	}
}

// The limits of a drained target are left open by mistake. The second look after
// the taking of a slot still keeps work away, and past the bound it is reported.
func TestDispatchAfterDrainIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inv := invariant.NewRegistry(nil)
		b := New(Settings{faults: faults{noDrain: true}}, inv)
		b.Update(services(1, 4))
		b.SetLeaving(map[string]bool{"t000": true})
		time.Sleep(DefaultDrainBound + time.Millisecond)
		if _, err := b.Pick(Query{Pool: "svc"}); err == nil {
			t.Error("the drained target got new work")
		}
		if inv.Total() == 0 {
			t.Error("no violation was recorded")
		}
	})
}

// The last report was made before this VM sent three requests, which are in it
// neither as active nor as queued; two of a peer's came after it, too. All count.
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

// The engine has no slot although this VM thought so. Nothing more is sent there
// for a while, and what waits is told when the while is over.
func TestBusyTargetIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Settings{}, services(1, 20))
		var freed atomic.Int64
		b.OnFree(func(string) { freed.Add(1) })
		b.Busy("t000")
		if _, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent}); !errors.Is(err, ErrNoCapacity) {
			t.Fatalf("busy target: %v", err)
		}
		time.Sleep(DefaultBusyHold)
		synctest.Wait()
		if freed.Load() != 1 {
			t.Errorf("told %d times", freed.Load())
		}
		if _, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent}); err != nil {
			t.Error(err)
		}
	})
}

// 320 VMs share 600 targets. Each uses a small part, always the same one; each
// target is used by the same number of VMs; a target that goes changes little.
// With 6 VMs the subset is everything.
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
				t.Errorf("VM %d lost %d targets as one went", vm, len(subset))
			}
		}
		counts := slices.Sorted(maps.Values(used))
		t.Logf("%d targets: each is used by %d to %d of 320 VMs", n, counts[0], counts[len(counts)-1])
		if len(used) != n || counts[len(counts)-1]-counts[0] > 1 {
			t.Errorf("%d of %d targets are used, by %d to %d VMs", len(used), n, counts[0], counts[len(counts)-1])
		}
	}
}
