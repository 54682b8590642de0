package relay

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/allocator"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/overload"
)

// fullReserver is a PathReserver of one replica, of which four requests use all slots.
type fullReserver struct {
	*PathReserver
	t       *testing.T
	used    []*layers.Reservation
	started []string // the workspaces of requests that have waited and got a path
}

func testReserver(t *testing.T, test func(t *testing.T, p *fullReserver)) {
	synctest.Test(t, func(t *testing.T) {
		pools := NewPools()
		pools.SetOverloadLimits(overload.Limits{Reserve: 0.25})
		replica := layers.Replica{ID: "r", Born: 1, Kind: "k", DataCentre: "a", Held: config.LayerRange{To: 4}}
		pools.Update("desk", &layers.Spec{Layers: 4, KVBytes: 1, Slots: 4, Accelerators: map[string]layers.Accelerator{"k": {MemoryMB: 1, StepTimeFactor: 1, PrefillTimeFactor: 1}}}, []layers.Replica{replica})
		pools.SetLoads(map[incarnation.Key]layers.Load{replica.Key(): {Total: 4e6, Pace: 1, Held: replica.Held, Born: 1, At: time.Now()}})
		p := &fullReserver{t: t, PathReserver: NewPathReserver("a", admission.New(admission.Settings{}, invariant.Strict()), pools, 0.35)}
		for range 4 {
			reservation, _ := p.Reserve(t.Context(), pathRequest("w", config.Urgent))
			p.used = append(p.used, reservation)
		}
		test(t, p)
	})
}

func pathRequest(workspace string, urgency config.Urgency) allocator.Request {
	return allocator.Request{
		Service: "desk", Profile: urgency.String(), Workspace: workspace, Urgency: urgency, Class: overload.Class{Ranks: 2},
		Prompt: 10, Answer: 10, Objective: time.Second, StartWithin: time.Second, MaxWait: time.Second,
	}
}

// wait lets a request wait for a path.
func (p *fullReserver) wait(workspace string, urgency config.Urgency) {
	go func() {
		if _, err := p.Reserve(p.t.Context(), pathRequest(workspace, urgency)); err == nil {
			p.started = append(p.started, workspace)
		}
	}()
	synctest.Wait()
}

// expectStarts frees slots one by one and checks which requests start, in this order.
func (p *fullReserver) expectStarts(want ...string) {
	p.t.Helper()
	for _, reservation := range p.used[:len(want)] {
		reservation.Release(true)
		synctest.Wait()
	}
	if !slices.Equal(p.started, want) {
		p.t.Errorf("started %v, want %v", p.started, want)
	}
}

// Guards against requests that start before more urgent ones when a slot becomes free.
func TestPathReserverOrderByPriority(t *testing.T) {
	testReserver(t, func(t *testing.T, p *fullReserver) {
		p.wait("catalogue", config.Bulk)
		p.wait("stock", config.Normal)
		p.wait("quotes", config.Urgent)
		p.expectStarts("quotes", "stock", "catalogue")
	})
}

// Guards against a workspace that takes all slots because it has asked first and most often.
func TestPathReserverFairAmongWorkspaces(t *testing.T) {
	testReserver(t, func(t *testing.T, p *fullReserver) {
		for _, workspace := range []string{"large", "large", "large", "large", "large", "large", "small", "small"} {
			p.wait(workspace, config.Urgent)
		}
		p.expectStarts("large", "small")
	})
}

// Guards against a profile that is never served because a more urgent one uses its part of the slots.
func TestPathReserverStarvedProfile(t *testing.T) {
	testReserver(t, func(t *testing.T, p *fullReserver) {
		p.used[0].Release(true)
		r := pathRequest("w", config.Normal)
		r.Class.Rank, r.MaxWait = 1, time.Millisecond
		for attempt := range 4 { // the fourth shows the part that is served
			if _, err := p.Reserve(t.Context(), r); (err == nil) != (attempt == 3) {
				t.Errorf("attempt %d: %v", attempt, err)
			}
		}
	})
}

// Guards against accounting for a path of an unknown replica, and adopted paths that free no slot.
func TestPathReserverAdopt(t *testing.T) {
	testReserver(t, func(t *testing.T, p *fullReserver) {
		hold := allocator.Hold{Service: "desk", Path: []allocator.Stage{{ID: "r", Born: 2, To: 4}}}
		if _, err := p.Adopt(hold); err != layers.ErrNoPath {
			t.Errorf("adopted a path of another incarnation: %v", err)
		}
		p.used[0].Release(true)
		hold.Path[0].Born = 1
		p.used[0], _ = p.Adopt(hold)
		p.wait("w", config.Urgent)
		p.expectStarts("w")
	})
}
