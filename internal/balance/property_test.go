package balance

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
)

const (
	randomTargets = 4
	randomSlots   = 5
	randomSteps   = 200
)

// step is one random event of a run. The meaning of n depends on the kind.
type step struct {
	kind, target, n int
}

// model tracks the slots of a run and checks the invariants of the balancer.
type model struct {
	b         *Balancer
	held      []*Slot
	inFlight  map[string]int
	draining  map[string]bool
	violation string
}

func drawSteps(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			kind:   rapid.IntRange(0, 9).Draw(rt, "kind"),
			target: rapid.IntRange(0, randomTargets-1).Draw(rt, "target"),
			n:      rapid.IntRange(0, 11).Draw(rt, "n"),
		}
	}), randomSteps, randomSteps).Draw(rt, "steps")
}

// runSteps runs the steps in virtual time and returns the first violation, empty if there is
// none.
func runSteps(t *testing.T, f faults, steps []step) (violation string) {
	synctest.Test(t, func(*testing.T) {
		m := &model{
			b:        New(Settings{faults: f}, invariant.NewRegistry(nil)),
			inFlight: map[string]int{},
			draining: map[string]bool{},
		}
		m.update()
		for i := 0; i < len(steps) && m.violation == ""; i++ {
			m.step(steps[i])
			m.check()
		}
		violation = m.violation
	})
	return violation
}

func (m *model) update() {
	s := services(randomTargets, randomSlots)
	for name, target := range s.Targets {
		if m.draining[name] {
			target.State = config.StateDraining
		}
	}
	m.b.Update(s)
}

func (m *model) step(s step) {
	name := fmt.Sprintf("t%03d", s.target)
	switch s.kind {
	case 0, 1, 2, 3:
		slot, err := m.b.Pick(Query{Pool: "svc", Urgency: config.Urgency(s.n % config.UrgencyCount)})
		m.recordSlot(slot, err)
	case 4:
		slot, err := m.b.Reserve(name, config.Urgent)
		m.recordSlot(slot, err)
	case 5, 6:
		m.release(s.n)
	case 7:
		time.Sleep(time.Duration(s.n*s.n) * 20 * time.Millisecond)
		synctest.Wait()
	case 8:
		m.draining[name] = !m.draining[name]
		m.update()
	case 9:
		m.receive(name, s.n)
	}
}

func (m *model) receive(name string, n int) {
	if n%2 == 0 {
		m.b.PeerLoad("peer", map[string]int{name: n / 2})
		return
	}
	m.b.Report(name, engine.LoadReport{At: time.Now(), Active: n})
}

func (m *model) recordSlot(slot *Slot, err error) {
	if err != nil {
		if !errors.Is(err, ErrNoCapacity) && !errors.Is(err, ErrNoTarget) {
			m.violation = err.Error()
		}
		return
	}
	name := slot.Target().Name
	m.held = append(m.held, slot)
	m.inFlight[name]++
	if m.draining[name] {
		m.violation = "a draining target got a request"
	}
}

func (m *model) release(n int) {
	if len(m.held) == 0 {
		return
	}
	i := n % len(m.held)
	slot := m.held[i]
	m.held = append(m.held[:i], m.held[i+1:]...)
	m.inFlight[slot.Target().Name]--
	slot.Release([]Result{ResultOK, ResultFailed, ResultFailed, ResultSlow, ResultNeutral, ResultBusy}[n%6])
}

func (m *model) check() {
	out := 0
	for _, target := range m.b.Dump().(Dump).Targets {
		if target.Reason == ReasonEjected {
			out++
		}
		if target.InFlight != m.inFlight[target.Name] || target.InFlight > randomSlots {
			m.violation = fmt.Sprintf("%s has %d in flight, %d are held", target.Name, target.InFlight, m.inFlight[target.Name])
		}
		bulk, normal, urgent := target.Limits[config.Bulk], target.Limits[config.Normal], target.Limits[config.Urgent]
		open := target.Eligible && !target.HalfOpen && urgent == randomSlots
		if bulk > normal || normal > urgent || open && normal == urgent {
			m.violation = fmt.Sprintf("%s has limits %v", target.Name, target.Limits)
		}
	}
	if out > randomTargets/2 {
		m.violation = fmt.Sprintf("%d of %d targets are ejected", out, randomTargets)
	}
}

// Requests of all urgencies, failures, slow and busy answers, drains, reports and counts of
// peers occur in random order. The number of requests in flight never exceeds a target's
// slots and always matches the held slots, a draining target gets no requests, urgent requests
// have more slots than others, and most targets stay in use however many fail.
func TestRandomRunsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violation := runSteps(t, faults{}, drawSteps(rt)); violation != "" {
			rt.Fatal(violation)
		}
	})
}

// The same runs with one safeguard disabled must violate the invariants in some case.
func TestRandomRunsCatchMissingSafeguards(t *testing.T) {
	for name, f := range map[string]faults{
		"headroom": {noHeadroom: true}, "bound on ejection": {noEjectBound: true},
	} {
		found := ""
		for seed := 0; seed < 100 && found == ""; seed++ {
			found = runSteps(t, f, rapid.Custom(drawSteps).Example(seed))
		}
		t.Logf("without %s: %s", name, found)
		if found == "" {
			t.Errorf("no run without %s violated an invariant", name)
		}
	}
}
