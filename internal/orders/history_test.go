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
	historySeeds    = 8
	historyDuration = 4 * time.Minute
	// maxPause and maxDelay together are less than MaxOrderDelay.
	maxPause = 9 * time.Second
	maxDelay = 2 * time.Second
)

// event is an order that an engine received, or a holder's finding that an engine matches its
// entry.
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

func (h *history) matched(target string, fencing uint64) {
	h.add(event{target: target, fencing: fencing, accepted: true})
}

func (h *history) add(e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now().UnixNano()
	h.ops = append(h.ops, porcupine.Operation{ClientId: int(e.fencing), Input: e, Call: now, Return: now})
}

// orderModel models one engine: after an accepted order or a match of a holder, no order of an
// earlier holder is accepted.
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

// result is what was counted in a run.
type result struct {
	linearizable bool
	violations   uint64
	aborted      int
	accepted     int
	refused      int
	tenures      int
}

func (r result) passed() bool { return r.linearizable && r.violations == 0 && r.aborted == 0 }

// run has three VMs control four engines, two of each kind, under a configuration that changes,
// with pauses, outages, lost answers and late orders drawn from the seed.
func run(t *testing.T, seed uint64, injected hooks) result {
	var r result
	synctest.Test(t, func(*testing.T) {
		f := newFleet(3, injected, fencingTarget("f-0"), fencingTarget("f-1"), ignoringTarget("i-0"), ignoringTarget("i-1"))
		end := time.Now().Add(historyDuration)
		for i, m := range f.members {
			random := rand.New(rand.NewPCG(seed, uint64(100+i)))
			m.link.setFault(func() orderFault { return randomFault(random) })
		}
		number := uint64(0)
		for _, e := range f.engines {
			random := rand.New(rand.NewPCG(seed, 200+number))
			number++
			f.done.Go(func() { sendRequests(random, f.drains, e, end) })
		}
		f.done.Go(func() { changeVersions(rand.New(rand.NewPCG(seed, 300)), f, end) })
		injectFaults(rand.New(rand.NewPCG(seed, 400)), f, end)
		f.stop()
		r = f.result()
	})
	return r
}

func (f *fleet) result() result {
	r := result{violations: f.violations.Total()}
	fencing := map[uint64]bool{}
	for _, e := range f.engines {
		orders, _, refused, aborted := e.counts()
		r.accepted += orders - refused
		r.refused += refused
		r.aborted += aborted
		for _, got := range e.allReceived() {
			fencing[got.order.Fencing] = true
		}
	}
	r.tenures = len(fencing)
	r.linearizable = porcupine.CheckOperations(orderModel, f.events.ops)
	return r
}

func randomFault(random *rand.Rand) orderFault {
	f := orderFault{delay: time.Duration(random.Int64N(int64(50 * time.Millisecond)))}
	switch random.IntN(5) {
	case 0:
		f.pause = time.Duration(random.Int64N(int64(maxPause)))
	case 1:
		f.loseAnswer = true
		f.delay = time.Duration(random.Int64N(int64(maxDelay)))
	case 2:
		f.loseOrder = true
	}
	return f
}

// sendRequests sends requests to the engine while no drain is confirmed. A request takes up to
// 400 ms to arrive, less than VisibilityDelay.
func sendRequests(random *rand.Rand, drains *fakeDrains, e *fakeEngine, end time.Time) {
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

// changeVersions changes versions in the configuration, sometimes back to an earlier one.
func changeVersions(random *rand.Rand, f *fleet, end time.Time) {
	names := []string{"f-0", "f-1", "i-0", "i-1"}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(8 * time.Second))))
		f.change(names[random.IntN(len(names))], fmt.Sprintf("v%d", random.IntN(3)))
	}
}

// injectFaults repeatedly pauses the holder or stops the store, for up to four lease durations.
func injectFaults(random *rand.Rand, f *fleet, end time.Time) {
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
			m.vm.Resume()
		}
	}
}

// Guards against an order of an earlier holder that takes effect after one of a later holder, an
// order without the lease, and a reload that aborts requests.
func TestOrdersOfEarlierHoldersDoNotTakeEffect(t *testing.T) {
	var sum result
	for seed := range testseed.Series(historySeeds) {
		r := run(t, seed, hooks{})
		must(t, r.passed(), "seed %d: %+v", seed, r)
		sum.accepted += r.accepted
		sum.refused += r.refused
		sum.tenures += r.tenures
	}
	must(t, sum.tenures > 2*historySeeds, "only %d tenures, too few for the check", sum.tenures)
	t.Logf("%d runs: %d orders accepted, %d refused, %d tenures with orders", historySeeds, sum.accepted, sum.refused, sum.tenures)
}

// With each of the safeguards removed, some run must fail the check.
func TestHistoryCheckCatchesPlantedFaults(t *testing.T) {
	faults := map[string]struct {
		injected hooks
		caught   func(result) bool
	}{
		"no check of the lease":    {hooks{skipLeaseCheck: true}, func(r result) bool { return !r.linearizable && r.violations > 0 }},
		"no wait for old orders":   {hooks{skipOldOrderWait: true}, func(r result) bool { return !r.linearizable }},
		"no new number on engines": {hooks{skipFencingUpdate: true}, func(r result) bool { return !r.linearizable }},
		"no drain before a reload": {hooks{skipDrain: true}, func(r result) bool { return r.aborted > 0 }},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8 * historySeeds) {
				if r := run(t, seed, fault.injected); fault.caught(r) {
					t.Logf("caught with seed %d: %+v", seed, r)
					return
				}
			}
			t.Error("not caught")
		})
	}
}
