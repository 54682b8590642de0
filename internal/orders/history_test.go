package orders

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/harness/testseed"
	"geraniumcroft/internal/lease"
)

const (
	historySeeds = 8
	historyLong  = 4 * time.Minute
	// maxStall and maxDelay together stay under MaxOrderDelay.
	maxStall = 9 * time.Second
	maxDelay = 2 * time.Second
)

// event is an order as its engine got it, or a holder's word that an engine agrees.
type event struct {
	target   string
	fencing  uint64
	accepted bool
}

// history collects events of all engines.
type history struct {
	mu  sync.Mutex // guards ops
	ops []porcupine.Operation
}

func (h *history) order(target string, fencing uint64, accepted bool) {
	h.add(event{target: target, fencing: fencing, accepted: accepted})
}

func (h *history) agreed(target string, fencing uint64) {
	h.add(event{target: target, fencing: fencing, accepted: true})
}

func (h *history) add(e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now().UnixNano()
	h.ops = append(h.ops, porcupine.Operation{ClientId: int(e.fencing), Input: e, Call: now, Return: now})
}

// orderModel is one engine: once an order or an agreement of a holder is in force,
// no order of an earlier holder comes into force.
var orderModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byTarget := map[string][]porcupine.Operation{}
		for _, op := range ops {
			target := op.Input.(event).target
			byTarget[target] = append(byTarget[target], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byTarget {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		highest, e := state.(uint64), input.(event)
		if !e.accepted {
			return true, highest
		}
		return e.fencing >= highest, max(highest, e.fencing)
	},
}

// result is what a run showed.
type result struct {
	linearizable bool
	violations   uint64
	cutOff       int
	accepted     int
	refused      int
	tenures      int
}

func (r result) good() bool { return r.linearizable && r.violations == 0 && r.cutOff == 0 }

// run lets three VMs keep four engines, two of each kind, to a configuration that
// changes, under pauses, outages, lost answers and late orders that the seed decides.
func run(t *testing.T, seed uint64, planted hooks) result {
	var r result
	synctest.Test(t, func(*testing.T) {
		f := newFleet(3, planted, fencingTarget("f-0"), fencingTarget("f-1"), ignoringTarget("i-0"), ignoringTarget("i-1"))
		end := time.Now().Add(historyLong)
		for i, m := range f.members {
			random := rand.New(rand.NewPCG(seed, uint64(100+i)))
			m.link.setFault(func() orderFault { return randomFault(random) })
		}
		number := uint64(0)
		for _, e := range f.engines {
			random := rand.New(rand.NewPCG(seed, 200+number))
			number++
			f.done.Go(func() { work(random, f.drains, e, end) })
		}
		f.done.Go(func() { operate(rand.New(rand.NewPCG(seed, 300)), f, end) })
		disturb(rand.New(rand.NewPCG(seed, 400)), f, end)
		f.stop()
		r = f.result()
	})
	return r
}

func (f *fleet) result() result {
	r := result{violations: f.violations.Total()}
	fencing := map[uint64]bool{}
	for _, e := range f.engines {
		orders, _, refused, cutOff := e.counts()
		r.accepted += orders - refused
		r.refused += refused
		r.cutOff += cutOff
		for _, got := range e.allReceived() {
			fencing[got.order.Fencing] = true
		}
	}
	r.tenures = len(fencing)
	r.linearizable = porcupine.CheckOperations(orderModel, f.log.ops)
	return r
}

func randomFault(random *rand.Rand) orderFault {
	f := orderFault{delay: time.Duration(random.Int64N(int64(50 * time.Millisecond)))}
	switch random.IntN(5) {
	case 0:
		f.stall = time.Duration(random.Int64N(int64(maxStall)))
	case 1:
		f.loseAnswer = true
		f.delay = time.Duration(random.Int64N(int64(maxDelay)))
	case 2:
		f.loseOrder = true
	}
	return f
}

// work gives the engine requests while no drain is confirmed. A request takes up to
// 400 ms to arrive, less than SettleTime.
func work(random *rand.Rand, drains *fakeDrains, e *fakeEngine, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
		if drains.confirmed(e.target.Name) {
			continue
		}
		time.Sleep(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
		e.addWork(1)
		time.Sleep(time.Duration(random.Int64N(int64(800 * time.Millisecond))))
		e.addWork(-1)
	}
}

// operate changes the configuration, now and then back to an earlier version.
func operate(random *rand.Rand, f *fleet, end time.Time) {
	names := []string{"f-0", "f-1", "i-0", "i-1"}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(8 * time.Second))))
		f.change(names[random.IntN(len(names))], fmt.Sprintf("v%d", random.IntN(3)))
	}
}

// disturb pauses the holder for up to four lease durations, or stops the store.
func disturb(random *rand.Rand, f *fleet, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(15 * time.Second))))
		long := time.Duration(random.Int64N(int64(4 * lease.DefaultTTL)))
		if random.IntN(4) == 0 {
			f.store.Faults.Set(platformsim.Order{Outage: platformsim.OutageHang})
			time.Sleep(long)
			f.store.Faults.Set(platformsim.Order{})
			continue
		}
		if m := f.holder(); m != nil {
			m.vm.Pause()
			time.Sleep(long)
			m.vm.Wake()
		}
	}
}

// No run shows an order of an earlier holder in force after a later one's, an order
// without a lease in hand, or work that a reload cut off.
func TestNoTwoHoldersOrdersInForce(t *testing.T) {
	var sum result
	for seed := range testseed.Series(historySeeds) {
		r := run(t, seed, hooks{})
		must(t, r.good(), "seed %d: %+v", seed, r)
		sum.accepted += r.accepted
		sum.refused += r.refused
		sum.tenures += r.tenures
	}
	must(t, sum.tenures > 2*historySeeds, "only %d tenures, the runs prove little", sum.tenures)
	t.Logf("%d runs: %d orders accepted, %d refused, %d tenures with orders", historySeeds, sum.accepted, sum.refused, sum.tenures)
}

// Each safeguard that is taken out is missed.
func TestHistoryCheckCatchesPlantedFaults(t *testing.T) {
	faults := map[string]struct {
		planted hooks
		caught  func(result) bool
	}{
		"no check of the lease":    {hooks{skipCheck: true}, func(r result) bool { return !r.linearizable && r.violations > 0 }},
		"no wait for old orders":   {hooks{skipWait: true}, func(r result) bool { return !r.linearizable }},
		"no new number on engines": {hooks{skipStamp: true}, func(r result) bool { return !r.linearizable }},
		"no drain before a reload": {hooks{skipDrain: true}, func(r result) bool { return r.cutOff > 0 }},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8 * historySeeds) {
				if r := run(t, seed, fault.planted); fault.caught(r) {
					t.Logf("caught with seed %d: %+v", seed, r)
					return
				}
			}
			t.Error("not caught")
		})
	}
}
