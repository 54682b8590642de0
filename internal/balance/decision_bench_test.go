package balance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
)

// The number of targets, workspaces and slots for which decisions are measured.
const (
	benchTargets    = 600
	benchWorkspaces = 2600
	benchSlots      = 8
)

// decisions makes decisions: admission and choice of a target, followed by the release.
type decisions struct {
	admission  *admission.Controller
	balancer   *Balancer
	workspaces []string
	next       atomic.Uint64
}

// newDecisions returns decisions with all slots free.
func newDecisions() *decisions {
	d := &decisions{
		admission: admission.New(admission.Settings{}, invariant.Strict()),
		balancer:  New(Settings{}, invariant.Strict()),
	}
	d.balancer.Update(services(benchTargets, benchSlots))
	d.balancer.OnFree(d.admission.Wake)
	for i := range benchWorkspaces {
		d.workspaces = append(d.workspaces, fmt.Sprint("workspace", i))
	}
	return d
}

// decide makes one decision and returns the slot, nil if the request was refused.
func (d *decisions) decide(u config.Urgency, prefixes []uint64) *Slot {
	n := d.next.Add(1)
	r := &admission.Request{Workspace: d.workspaces[n%benchWorkspaces], Pool: "svc", Urgency: u, Cost: 355}
	var slot *Slot
	err := d.admission.Admit(context.Background(), r, func() bool {
		slot, _ = d.balancer.Pick(Query{Pool: "svc", Urgency: r.EffectiveUrgency(), Prefixes: prefixes})
		return slot != nil
	})
	if err != nil {
		return nil
	}
	return slot
}

// fill takes slots until the given number is open to urgent requests.
func (d *decisions) fill(open int) {
	for range benchTargets*benchSlots - open {
		_, _ = d.balancer.Pick(Query{Pool: "svc", Urgency: config.Urgent})
	}
}

// backlog queues bulk requests of all workspaces up to the limit of the queue.
func (d *decisions) backlog(ctx context.Context) {
	for i := range admission.DefaultMaxQueued {
		r := &admission.Request{Workspace: d.workspaces[i*2], Pool: "svc", Cost: 355}
		go func() { _ = d.admission.Admit(ctx, r, func() bool { return false }) }()
	}
	for d.admission.Dump().(admission.Dump).Pools["svc"].Queued < admission.DefaultMaxQueued {
	}
}

// BenchmarkDecision measures one decision with its release for 600 targets and 2,600
// workspaces: with free slots, with prefixes to look up, with one free slot among all targets,
// and with a full queue of bulk requests.
func BenchmarkDecision(b *testing.B) {
	prefixes := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	for _, c := range []struct {
		name     string
		open     int
		queued   bool
		prefixes []uint64
	}{
		{name: "room", open: benchTargets * benchSlots},
		{name: "prefixes", open: benchTargets * benchSlots, prefixes: prefixes},
		{name: "one-slot-free", open: 1},
		{name: "bulk-queued", open: 1, queued: true},
	} {
		b.Run(c.name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			d := newDecisions()
			d.fill(c.open)
			if c.queued {
				d.backlog(ctx)
			}
			b.ReportAllocs()
			for b.Loop() {
				d.decide(config.Urgent, c.prefixes).Release(ResultOK)
			}
		})
	}
}

// BenchmarkDecisionParallel measures decisions that all processors make in one pool at once.
func BenchmarkDecisionParallel(b *testing.B) {
	b.Run("one-pool", func(b *testing.B) {
		d := newDecisions()
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if slot := d.decide(config.Normal, nil); slot != nil {
					slot.Release(ResultOK)
				}
			}
		})
	})
}

// BenchmarkRefusal measures a refusal on arrival: the queue is full of requests of the same
// urgency, and no workspace holds more than its share.
func BenchmarkRefusal(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDecisions()
	d.fill(0)
	d.backlog(ctx)
	b.ReportAllocs()
	for b.Loop() {
		d.decide(config.Bulk, nil)
	}
}

// BenchmarkControl measures the work for a view of 600 targets apart from decisions: one
// report, the counts of one peer with 60 targets that all changed, this VM's own counts for
// the peers, and one change of the configuration.
func BenchmarkControl(b *testing.B) {
	d := newDecisions()
	d.balancer.SetSubset(6, 0)
	names := slices.Sorted(maps.Keys(d.balancer.snapshot.Targets))
	b.Run("report", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			d.balancer.Report(names[i%benchTargets], engine.LoadReport{At: time.Now(), Active: i % benchSlots})
		}
	})
	b.Run("peer-60-targets", func(b *testing.B) {
		inFlight := map[string]int{}
		for i := 0; b.Loop(); i++ {
			for _, name := range names[:60] {
				inFlight[name] = i % benchSlots
			}
			d.balancer.PeerLoad("peer", maps.Clone(inFlight))
		}
	})
	b.Run("own-counts", func(b *testing.B) {
		for b.Loop() {
			d.balancer.InFlight()
		}
	})
	b.Run("configuration", func(b *testing.B) {
		for b.Loop() {
			d.balancer.Update(d.balancer.snapshot)
		}
	})
}
