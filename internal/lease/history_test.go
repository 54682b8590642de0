package lease

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
)

const (
	historySeeds    = 12
	historyDuration = 3 * time.Minute
	actEvery        = 200 * time.Millisecond
)

// actModel is the model of the acts under one duty: once a fencing number has acted, no lower one
// may.
var actModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		highest, fencing := state.(uint64), input.(uint64)
		return fencing >= highest, max(highest, fencing)
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("act(%d)", input) },
}

type history struct {
	mu  sync.Mutex // guards ops
	ops []porcupine.Operation
}

func (h *history) add(client int, fencing uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: fencing, Call: at.UnixNano(), Return: at.UnixNano()})
}

func (h *history) holders() int {
	seen := map[uint64]bool{}
	for _, op := range h.ops {
		seen[op.Input.(uint64)] = true
	}
	return len(seen)
}

// run lets four VMs act under one duty for a while, with pauses, outages, lost answers and late
// writes that depend on the seed, and returns the acts.
func run(seed uint64, injected hooks) *history {
	h := &history{}
	f := newFleet(injected, append([]string{"vm-d"}, threeVMs...), testDuty)
	end := time.Now().Add(historyDuration)
	for i, v := range f.vms {
		f.done.Go(func() { act(h, i, v, end) })
	}
	injectFaults(rand.New(rand.NewPCG(seed, seed)), f, end)
	f.stop()
	return h
}

func act(h *history, client int, v *vm, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(actEvery)
		v.AwaitRunning()
		l, ok := v.manager.Held(testDuty)
		if ok && l.Check() == nil {
			h.add(client, l.Fencing, time.Now())
		}
	}
}

func injectFaults(random *rand.Rand, f *fleet, end time.Time) {
	var mu sync.Mutex // the store calls from several goroutines
	f.store.Faults.Choose(func(platformsim.Operation) platformsim.Action {
		mu.Lock()
		defer mu.Unlock()
		return randomAction(random)
	})
	for time.Now().Before(end) {
		mu.Lock()
		long := time.Duration(random.Int64N(int64(9 * time.Second)))
		v := f.vms[random.IntN(len(f.vms))]
		what := random.IntN(5)
		mu.Unlock()
		if holding := f.holders(testDuty); what < 4 && len(holding) > 0 {
			v = holding[0]
		}
		switch what {
		case 0, 1, 4:
			v.Pause()
			time.Sleep(long)
			v.Resume()
		case 2:
			v.HangCommits(true)
			time.Sleep(2 * long)
			v.HangCommits(false)
		case 3:
			f.store.Faults.Set(platformsim.Order{Outage: platformsim.OutageHang})
			time.Sleep(long)
			f.store.Faults.Set(platformsim.Order{})
		}
	}
}

func randomAction(random *rand.Rand) platformsim.Action {
	wait := time.Duration(random.Int64N(int64(3 * time.Second)))
	switch random.IntN(20) {
	case 0:
		return platformsim.Action{Kind: platformsim.ActLoseAnswer}
	case 1:
		return platformsim.Action{Kind: platformsim.ActDelay, Wait: wait}
	case 2:
		return platformsim.Action{Kind: platformsim.ActSlow, Wait: wait / 2}
	case 3:
		return platformsim.Action{Kind: platformsim.ActUnavailable}
	default:
		return platformsim.Action{}
	}
}

func linearizable(seed uint64, injected hooks, t *testing.T) (bool, *history) {
	var h *history
	synctest.Test(t, func(*testing.T) { h = run(seed, injected) })
	return porcupine.CheckOperations(actModel, h.ops), h
}

// No run may contain an act under a lower fencing number after one under a higher number.
func TestNoActAfterActOfSuccessor(t *testing.T) {
	acts, holders := 0, 0
	for seed := range testseed.Series(historySeeds) {
		ok, h := linearizable(seed, hooks{}, t)
		must(t, ok, "seed %d: two holders acted", seed)
		acts += len(h.ops)
		holders += h.holders()
	}
	must(t, holders > 4*historySeeds, "only %d tenures in %d runs, too few to prove anything", holders, historySeeds)
	t.Logf("%d runs, %d acts, %d tenures", historySeeds, acts, holders)
}

// The check must detect the removal of each safeguard.
func TestHistoryCheckCatchesPlantedFaults(t *testing.T) {
	faults := map[string]hooks{
		"takes over without observing":   {skipObservation: true},
		"trusts the monotonic clock":     {skipWallClock: true},
		"counts renewals without answer": {trustAmbiguous: true},
	}
	for name, injected := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(historySeeds) {
				if ok, _ := linearizable(seed, injected, t); !ok {
					t.Logf("caught with seed %d", seed)
					return
				}
			}
			t.Error("not caught")
		})
	}
}
