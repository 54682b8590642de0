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
	// ruleWindow, ruleFactor and ruleExtra bound what a limited replica gets of all VMs: ruleFactor
	// times its limit and ruleExtra more, in any ruleWindow.
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleExtra  = 5

	simStep  = 10 * time.Millisecond
	simSpan  = 60 * time.Second
	simGrace = 3 * time.Second
	// simWait is how long a request of the simulation waits for its turn.
	simWait = 250 * time.Millisecond
	// simDemand is how many times the limit all VMs together want to send, and simLeast the least that
	// they want, in requests a second.
	simDemand = 4.0
	simLeast  = 40.0
)

// evenParts gives each VM the same part, the other way to divide a limit.
func evenParts(limit Limit, fleet Fleet, _ int) part {
	return part{sender: true, rate: max(leastRate, limit.PerSecond) / float64(len(fleet.VMs)), burst: 1}
}

// simulated is a fleet before one limited replica, in virtual time.
type simulated struct {
	ledgers []*Ledger
	// waiting holds the arrivals that wait at each VM.
	waiting [][]time.Time
	weights []float64
	arrived []time.Time
	random  *rand.Rand
}

// fleetOf returns so many VMs in three data centres.
func fleetOf(n int) []VM {
	vms := make([]VM, n)
	for i := range vms {
		vms[i] = VM{Name: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%3)}
	}
	return vms
}

// newSimulated makes a fleet of which each VM knows what knows says, and has heard of the limit.
func newSimulated(seed uint64, n int, limit float64, parts func(Limit, Fleet, int) part, knows func(i int, vms []VM) Fleet) *simulated {
	s := &simulated{waiting: make([][]time.Time, n), random: rand.New(rand.NewPCG(seed, seed))}
	vms := fleetOf(n)
	for i := range n {
		l := NewLedger(zap.NewNop())
		l.parts = parts
		fleet := knows(i, vms)
		fleet.Self = vms[i].Name
		l.SetFleet(fleet, at(0))
		l.Observe(Origin{Replica: desk, DataCentre: "dc-0", Sent: at(0)}, Signal{Limit: LimitOf(limit)}, at(0))
		s.ledgers = append(s.ledgers, l)
		s.weights = append(s.weights, 0.3+s.random.Float64())
	}
	return s
}

func allKnown(_ int, vms []VM) Fleet { return Fleet{Known: true, VMs: vms} }

// run lets all VMs want to send so many requests a second together.
func (s *simulated) run(perSecond float64) {
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

func (s *simulated) send(i int, l *Ledger, now time.Time) {
	for len(s.waiting[i]) > 0 {
		late := now.Sub(s.waiting[i][0]) > simWait
		if !late && !l.Take(desk, now) {
			return
		}
		if !late {
			s.arrived = append(s.arrived, now)
			l.Observe(Origin{Replica: desk, Sent: now}, Signal{Limit: l.replicas[desk].limit}, now)
		}
		s.waiting[i] = s.waiting[i][1:]
	}
}

// most returns the most requests within the window of the rule.
func (s *simulated) most() int {
	most, first := 0, 0
	for i, now := range s.arrived {
		for now.Sub(s.arrived[first]) > ruleWindow {
			first++
		}
		if now.After(at(0).Add(simGrace)) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// used is the part of the limit that was sent.
func (s *simulated) used(limit float64) float64 {
	return float64(len(s.arrived)) / (limit * simSpan.Seconds())
}

// reports is how many questions for its load a replica gets within the window besides, at most.
func reports(limit float64) int { return min(4, int(math.Ceil(limit))+1) }

func allowed(limit float64) int { return int(ruleFactor*limit*ruleWindow.Seconds()) + ruleExtra }

// Guards against a limit that all VMs together exceed, and against one that is hardly used.
func TestFleetKeepsToALimitAndUsesIt(t *testing.T) {
	const leastUsed = 0.9
	for _, n := range []int{1, 6, 88, 195, 320} {
		for _, limit := range []float64{0.5, 5, 50} {
			s := newSimulated(uint64(n), n, limit, partOf, allKnown)
			s.run(max(simLeast, simDemand*limit))
			t.Logf("%d VMs, limit %g: most %d of %d, used %.2f", n, limit, s.most()+reports(limit), allowed(limit), s.used(limit))
			if s.most()+reports(limit) > allowed(limit) {
				t.Errorf("%d VMs, limit %g: %d in a window, allowed %d", n, limit, s.most()+reports(limit), allowed(limit))
			}
			if n <= int(simLeast) && s.used(limit) < leastUsed {
				t.Errorf("%d VMs, limit %g: %.2f of it used", n, limit, s.used(limit))
			}
		}
	}
}

// Even parts exceed a small limit in a large fleet, as what each VM may send at once adds up.
func TestEvenPartsExceedASmallLimitOfALargeFleet(t *testing.T) {
	const limit = 5.0
	for _, n := range []int{88, 195} {
		s := newSimulated(uint64(n), n, limit, evenParts, allKnown)
		s.run(simLeast)
		if s.most()+reports(limit) <= allowed(limit) {
			t.Errorf("%d VMs, limit %g: %d in a window, allowed %d", n, limit, s.most()+reports(limit), allowed(limit))
		}
	}
}

// Guards against VMs that each take the whole limit as none knows of the others.
func TestFleetThatWasNotCountedKeepsToALimit(t *testing.T) {
	for _, n := range []int{6, 88} {
		for _, limit := range []float64{0.5, 5, 50} {
			s := newSimulated(uint64(n), n, limit, partOf, func(int, []VM) Fleet { return Fleet{} })
			s.run(max(simLeast, simDemand*limit))
			if s.most()+reports(limit) > allowed(limit) {
				t.Errorf("%d VMs, limit %g: %d in a window, allowed %d", n, limit, s.most()+reports(limit), allowed(limit))
			}
		}
	}
}

// Guards against a limit that is exceeded while VMs come and go, when half of the fleet counts one more
// VM than the other half.
func TestFleetThatCountsDifferentVMsKeepsToALimit(t *testing.T) {
	for _, n := range []int{6, 88, 195, 320} {
		for _, limit := range []float64{0.5, 5, 50} {
			s := newSimulated(uint64(n), n, limit, partOf, func(i int, vms []VM) Fleet {
				if i%2 == 0 {
					vms = vms[1:]
				}
				return Fleet{Known: true, VMs: vms}
			})
			s.run(max(simLeast, simDemand*limit))
			if s.most()+reports(limit) > allowed(limit) {
				t.Errorf("%d VMs, limit %g: %d in a window, allowed %d", n, limit, s.most()+reports(limit), allowed(limit))
			}
		}
	}
}
