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

// failOften makes the target fail until it is ejected.
func failOften(b *Balancer, name string) {
	for range DefaultEjectAfter {
		if s, err := b.Reserve(name, config.Urgent); err == nil {
			s.Release(ResultFailed)
		}
	}
}

func ejected(b *Balancer) (n int) {
	for _, target := range b.Dump().(Dump).Targets {
		if target.Reason == "ejected" {
			n++
		}
	}
	return n
}

// All targets fail at once, for instance as this VM's own link is bad. Only a part
// of them is ejected, so requests still find targets.
func TestEjectionIsBounded(t *testing.T) {
	for faulty, want := range map[bool]int{false: 3, true: 10} {
		b := newBalancer(Settings{faults: faults{noEjectBound: faulty}}, services(10, 4))
		for name := range b.snapshot.Targets {
			failOften(b, name)
		}
		if got := ejected(b); got != want {
			t.Errorf("unbounded %t: %d of 10 targets ejected, want %d", faulty, got, want)
		}
	}
	b := newBalancer(Settings{}, services(1, 4))
	failOften(b, "t000")
	if got := ejected(b); got != 0 {
		t.Errorf("the only target was ejected")
	}
}

// A target fails three times and gets no request. When its time is over one
// request probes it: a failure ejects it for longer, a good answer lets it in, and
// those that wait for a slot are told.
func TestEjectedTargetComesBackByAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Settings{}, services(2, 4))
		var freed atomic.Int64
		b.OnFree(func(string) { freed.Add(1) })
		failOften(b, "t000")
		if _, err := b.Reserve("t000", config.Bulk); !errors.Is(err, ErrNoCapacity) {
			t.Fatalf("ejected target: %v", err)
		}
		before := freed.Load()
		time.Sleep(DefaultEjectFor)
		synctest.Wait()
		if freed.Load() == before {
			t.Error("nobody was told that the target can be probed")
		}
		probe, err := b.Pick(Query{Pool: "svc"})
		if err != nil || probe.Target().Name != "t000" {
			t.Fatalf("bulk did not probe: %v", err)
		}
		if _, err := b.Reserve("t000", config.Urgent); !errors.Is(err, ErrNoCapacity) {
			t.Errorf("second probe: %v", err)
		}
		probe.Release(ResultSlow)
		time.Sleep(DefaultEjectFor)
		if _, err := b.Reserve("t000", config.Urgent); err == nil {
			t.Error("the second ejection was no longer than the first")
		}
		time.Sleep(DefaultEjectFor)
		synctest.Wait()
		if s, err := b.Reserve("t000", config.Urgent); err == nil {
			s.Release(ResultOK)
		}
		if got := len(pickAll(b, config.Urgent)); got != 8 {
			t.Errorf("%d slots after the target came back, want 8", got)
		}
	})
}

// The operator's counters of a target follow from what was told of each slot, once.
func TestResultsAreToldOnce(t *testing.T) {
	var told []string
	settings := Settings{OnResult: func(target string, r Result) { told = append(told, fmt.Sprint(target, " ", r)) }}
	b := newBalancer(settings, services(1, 4))
	for _, r := range []Result{ResultOK, ResultFailed, ResultNeutral} {
		s, err := b.Reserve("t000", config.Urgent)
		if err != nil {
			t.Fatal(err)
		}
		s.Release(r)
		s.Release(ResultFailed)
	}
	if want := []string{"t000 1", "t000 2", "t000 0"}; !slices.Equal(told, want) {
		t.Errorf("told %v, want %v", told, want)
	}
}

// One instance of a service answers everything, but ten times as late as the
// others. It is ejected as one that fails is.
func TestSlowTargetIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Settings{}, services(3, 4))
		for range 100 {
			s, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent})
			if err != nil {
				t.Fatal(err)
			}
			took := 10 * time.Millisecond
			if s.Target().Name == "t000" {
				took *= 10
			}
			time.Sleep(took)
			s.Release(ResultOK)
			if ejected(b) == 1 {
				return
			}
		}
		t.Error("the slow target was never ejected")
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

// hits counts how many of 20 requests with that prefix go to t000.
func hits(b *Balancer, prefixes ...uint64) (n int) {
	for range 20 {
		s, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent, Prefixes: prefixes})
		if err != nil {
			continue
		}
		if s.Target().Name == "t000" {
			n++
		}
		s.Release(ResultOK)
	}
	return n
}

// An engine says that it holds a prefix. Requests with it go there while it has
// room. After gaps in its events it is believed less, until its view is read again
// and what it no longer holds is forgotten.
func TestPrefixHintsAreBelievedWithinReason(t *testing.T) {
	b := newBalancer(Settings{}, services(20, 4))
	b.CacheEvents("t000", engine.CacheEvents{Events: []engine.CacheEvent{{Seq: 1, Prefix: 7}}})
	if got := hits(b, 7, 8); got != 20 {
		t.Errorf("%d of 20 requests went to the holder", got)
	}
	full, _ := b.Reserve("t000", config.Urgent)
	for range 3 {
		_, _ = b.Reserve("t000", config.Urgent)
	}
	if got := hits(b, 7, 8); got != 0 {
		t.Errorf("%d requests went to the full holder", got)
	}
	full.Release(ResultOK)
	b.CacheEvents("t000", engine.CacheEvents{Events: []engine.CacheEvent{{Seq: 5, Prefix: 9}, {Seq: 9, Prefix: 10}}})
	if after, reread := b.CacheCursor("t000"); after != 0 || !reread {
		t.Errorf("after a gap: from %d, read again %t", after, reread)
	}
	if got := hits(b, 7, 8); got == 20 {
		t.Error("the hint was believed in spite of the gaps and the load")
	}
	b.CacheView("t000", engine.CacheEvents{Events: []engine.CacheEvent{{Seq: 9, Prefix: 10}}})
	if found, _ := b.view.Load().pools["svc"].prefixes.find([]uint64{7}); found[0].valid() {
		t.Error("a prefix that the engine no longer holds was kept")
	}
	if after, reread := b.CacheCursor("t000"); after != 9 || reread {
		t.Errorf("after reading: from %d, read again %t", after, reread)
	}
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

// A peer fills a target with long streams and has no change to tell for a minute:
// its slots stay taken here all the while. When it is found dead they come free,
// and what waits for a slot is told.
func TestPeersWordHoldsUntilItIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Settings{}, services(1, 4))
		b.SetSubset(2, 0)
		var freed atomic.Int64
		b.OnFree(func(string) { freed.Add(1) })
		b.PeerLoad("peer", map[string]int{"t000": 4})
		time.Sleep(time.Minute)
		if got := len(pickAll(b, config.Urgent)); got != 2 {
			t.Errorf("%d slots beside a full peer, want the share of 2", got)
		}
		b.PeerLoad("peer", nil)
		if freed.Load() != 1 {
			t.Errorf("told %d times", freed.Load())
		}
		if got := len(pickAll(b, config.Urgent)); got != 2 {
			t.Errorf("%d more slots after the peer was gone, want 2", got)
		}
	})
}

// A peer learns of a new target before this VM does, and says what it has there.
// Its word counts from the start, and its end leaves nothing behind.
func TestPeersWordOfATargetNotYetKnown(t *testing.T) {
	b := newBalancer(Settings{}, services(1, 4))
	b.SetSubset(4, 0)
	b.PeerLoad("peer", map[string]int{"t001": 3})
	b.Update(services(2, 4))
	if got := b.Dump().(Dump).Targets[1].Others; got != 3 {
		t.Errorf("others have %.0f at the new target, want 3", got)
	}
	b.PeerLoad("peer", nil)
	if got := b.Dump().(Dump).Targets[1].Others; got != 0 {
		t.Errorf("others have %.0f after the end, want 0", got)
	}
}
