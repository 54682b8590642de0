package pushback

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
)

const (
	// A replica with a limit may get limitFactor times its limit plus limitExtra requests from all VMs
	// in any limitWindow.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5

	// A simulation lasts simSpan in steps of simStep. The first simGrace is not checked.
	simStep  = 10 * time.Millisecond
	simSpan  = 60 * time.Second
	simGrace = 3 * time.Second
	// simWait is how long a request of the simulation waits to be sent before it is dropped.
	simWait = 250 * time.Millisecond
	// simDemand is the demand of all VMs together as a multiple of the limit, and simLeast the lower bound
	// of the demand in requests per second.
	simDemand = 4.0
	simLeast  = 40.0
)

// evenQuotas gives each VM an equal share of the limit, as an alternative to quotaFor.
func evenQuotas(limit Limit, fleet Fleet, _ int) quota {
	return quota{sender: true, rate: max(minRate, limit.PerSecond) / float64(len(fleet.VMs)), burst: 1}
}

// simulation simulates a fleet that sends requests to one limited replica, in virtual time.
type simulation struct {
	ledgers []*Ledger
	// waiting holds, for each VM, the arrival times of the requests that wait to be sent.
	waiting [][]time.Time
	// weights holds the share of each VM in the demand.
	weights []float64
	// arrived holds the times at which requests reached the replica.
	arrived []time.Time
	random  *rand.Rand
}

// fleetVMs returns n VMs in three data centres.
func fleetVMs(n int) []VM {
	vms := make([]VM, n)
	for i := range vms {
		vms[i] = VM{Name: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%3)}
	}
	return vms
}

// newSimulation returns a simulation in which VM i knows the fleet that knows returns, and all VMs know
// the limit of the replica.
func newSimulation(seed uint64, n int, limit float64, quotas func(Limit, Fleet, int) quota, knows func(i int, vms []VM) Fleet) *simulation {
	s := &simulation{waiting: make([][]time.Time, n), random: rand.New(rand.NewPCG(seed, seed))}
	vms := fleetVMs(n)
	for i := range n {
		l := NewLedger(zap.NewNop())
		l.quotas = quotas
		fleet := knows(i, vms)
		fleet.Self = vms[i].Name
		l.SetFleet(fleet, at(0))
		l.Observe(Origin{Replica: testReplica, DataCentre: "dc-0", Sent: at(0)}, Signal{Limit: LimitOf(limit)}, at(0))
		s.ledgers = append(s.ledgers, l)
		s.weights = append(s.weights, 0.3+s.random.Float64())
	}
	return s
}

// fullFleet is the knows function of a fleet in which each VM knows all VMs.
func fullFleet(_ int, vms []VM) Fleet { return Fleet{Known: true, VMs: vms} }

// run runs the simulation for simSpan with a total demand of perSecond requests per second.
func (s *simulation) run(perSecond float64) {
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	for now := at(0); now.Before(at(0).Add(simSpan)); now = now.Add(simStep) {
		for i, l := range s.ledgers {
			if s.random.Float64() < perSecond*s.weights[i]/total*simStep.Seconds() {
				s.waiting[i] = append(s.waiting[i], now)
			}
			s.send(i, l, now)
		}
	}
}

// send sends the waiting requests of VM i as far as its ledger allows, and drops those that waited too
// long.
func (s *simulation) send(i int, l *Ledger, now time.Time) {
	for len(s.waiting[i]) > 0 {
		late := now.Sub(s.waiting[i][0]) > simWait
		if !late && !l.Take(testReplica, now) {
			return
		}
		if !late {
			s.arrived = append(s.arrived, now)
			l.Observe(Origin{Replica: testReplica, Sent: now}, Signal{Limit: l.replicas[testReplica].limit}, now)
		}
		s.waiting[i] = s.waiting[i][1:]
	}
}

// maxInWindow returns the largest number of requests in any limitWindow after simGrace.
func (s *simulation) maxInWindow() int {
	maxInWindow, first := 0, 0
	for i, now := range s.arrived {
		for now.Sub(s.arrived[first]) > limitWindow {
			first++
		}
		if now.After(at(0).Add(simGrace)) {
			maxInWindow = max(maxInWindow, i-first+1)
		}
	}
	return maxInWindow
}

// utilization returns the share of the limit that was used.
func (s *simulation) utilization(limit float64) float64 {
	return float64(len(s.arrived)) / (limit * simSpan.Seconds())
}

// loadQueries returns the largest number of load queries that the replica gets in a window in addition.
func loadQueries(limit float64) int { return min(4, int(math.Ceil(limit))+1) }

// allowed returns the number of requests that the replica may get in a window.
func allowed(limit float64) int { return int(limitFactor*limit*limitWindow.Seconds()) + limitExtra }

// Guards against quotas with which all VMs together exceed the limit, and against quotas that leave most
// of it unused.
func TestFleetKeepsToALimitAndUsesIt(t *testing.T) {
	const leastUsed = 0.9
	for _, n := range []int{1, 6, 88, 195, 320} {
		for _, limit := range []float64{0.5, 5, 50} {
			s := newSimulation(uint64(n), n, limit, quotaFor, fullFleet)
			s.run(max(simLeast, simDemand*limit))
			t.Logf("%d VMs, limit %g: at most %d in a window, allowed %d; %.2f of the limit used", n, limit, s.maxInWindow()+loadQueries(limit), allowed(limit), s.utilization(limit))
			if s.maxInWindow()+loadQueries(limit) > allowed(limit) {
				t.Errorf("%d VMs, limit %g: %d in a window, allowed %d", n, limit, s.maxInWindow()+loadQueries(limit), allowed(limit))
			}
			if n <= int(simLeast) && s.utilization(limit) < leastUsed {
				t.Errorf("%d VMs, limit %g: %.2f of it used", n, limit, s.utilization(limit))
			}
		}
	}
}

// Shows that equal quotas exceed a small limit in a large fleet, because the bursts of all VMs add up. If
// this test fails, the simulation does not detect quotas that are too large.
func TestEvenQuotasExceedSmallLimitInLargeFleet(t *testing.T) {
	const limit = 5.0
	for _, n := range []int{88, 195} {
		s := newSimulation(uint64(n), n, limit, evenQuotas, fullFleet)
		s.run(simLeast)
		if s.maxInWindow()+loadQueries(limit) <= allowed(limit) {
			t.Errorf("%d VMs, limit %g: %d in a window, allowed %d", n, limit, s.maxInWindow()+loadQueries(limit), allowed(limit))
		}
	}
}

// Guards against VMs that each use the whole limit because none knows the other VMs.
func TestUnknownFleetKeepsToLimit(t *testing.T) {
	for _, n := range []int{6, 88} {
		for _, limit := range []float64{0.5, 5, 50} {
			s := newSimulation(uint64(n), n, limit, quotaFor, func(int, []VM) Fleet { return Fleet{} })
			s.run(max(simLeast, simDemand*limit))
			if s.maxInWindow()+loadQueries(limit) > allowed(limit) {
				t.Errorf("%d VMs, limit %g: %d in a window, allowed %d", n, limit, s.maxInWindow()+loadQueries(limit), allowed(limit))
			}
		}
	}
}

// Guards against a limit that is exceeded while VMs start and stop: half of the fleet knows one VM more
// than the other half.
func TestFleetWithDifferentViewsKeepsToLimit(t *testing.T) {
	for _, n := range []int{6, 88, 195, 320} {
		for _, limit := range []float64{0.5, 5, 50} {
			s := newSimulation(uint64(n), n, limit, quotaFor, func(i int, vms []VM) Fleet {
				if i%2 == 0 {
					vms = vms[1:]
				}
				return Fleet{Known: true, VMs: vms}
			})
			s.run(max(simLeast, simDemand*limit))
			if s.maxInWindow()+loadQueries(limit) > allowed(limit) {
				t.Errorf("%d VMs, limit %g: %d in a window, allowed %d", n, limit, s.maxInWindow()+loadQueries(limit), allowed(limit))
			}
		}
	}
}
