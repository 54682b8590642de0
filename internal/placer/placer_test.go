package placer

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
)

// fakeEngines carry orders out at once.
type fakeEngines struct {
	mu     sync.Mutex // guards the fields below
	states map[string]State
	orders int
	// silent engines carry an order out and answer nothing.
	silent bool
	// listedBorn is the start that discovery shows where it is behind.
	listedBorn map[string]int64
	// heard are the incarnations that the placer told of.
	heard []incarnation.Key
}

func (f *fakeEngines) hear(k incarnation.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = append(f.heard, k)
}

// reported is what an engine's report says, as a board has it.
func (f *fakeEngines) reported(k incarnation.Key) (layers.Load, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, ok := f.states[k.ID]
	return layers.Load{Born: state.Born, Sequence: state.Sequence, Held: state.Held}, ok && state.Born == k.Born
}

// change sets what an engine is, as a restart or another one's order does.
func (f *fakeEngines) change(name string, state State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[name] = state
}

func (f *fakeEngines) state(name string) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[name]
}

func (f *fakeEngines) State(_ context.Context, address string) (State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[address], nil
}

func (f *fakeEngines) Place(_ context.Context, r layers.Replica, held config.LayerRange, sequence uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.states[r.Address]
	if state.Sequence != sequence {
		return errors.New("another order came first")
	}
	f.orders++
	f.states[r.Address] = State{Born: state.Born, Sequence: sequence + 1, Held: held}
	if f.silent {
		return errors.New("no answer")
	}
	return nil
}

type fakeHolder struct {
	mu   sync.Mutex // guards the field below
	hold bool
}

func (h *fakeHolder) Holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hold
}

func (h *fakeHolder) set(hold bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hold = hold
}

func testSpec() *layers.Spec {
	return &layers.Spec{Layers: 20, LayerMB: 1000, KVBytes: 1e5, LoadTime: time.Second, MeanPrompt: 100, MeanAnswer: 100,
		Accelerators: map[string]layers.Accelerator{"card": {MemoryMB: 12000, StepTimeFactor: 1, PrefillTimeFactor: 1}}}
}

// listing returns the replicas as they report themselves.
func (f *fakeEngines) listing(names ...string) []layers.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var replicas []layers.Replica
	for _, name := range names {
		r := layers.Replica{ID: name, Born: f.states[name].Born, Address: name, DataCentre: "a", Kind: "card", Held: f.states[name].Held}
		if born, behind := f.listedBorn[name]; behind {
			r.Born, r.Held = born, config.LayerRange{}
		}
		replicas = append(replicas, r)
	}
	return replicas
}

// placing runs a placer over four engines in virtual time.
func placing(t *testing.T, holder *fakeHolder, engines *fakeEngines, test func()) {
	placingOn(t, holder, engines, []string{"1", "2", "3", "4"}, test)
}

func placingOn(t *testing.T, holder *fakeHolder, engines *fakeEngines, names []string, test func()) {
	synctest.Test(t, func(t *testing.T) {
		engines.states = map[string]State{}
		p := New(Options{Engines: engines, Holder: holder, Logger: zap.NewNop(), ObserveIncarnation: engines.hear, LastReport: engines.reported,
			Model: func() (*layers.Spec, []layers.Replica) { return testSpec(), engines.listing(names...) }})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { p.Run(ctx) })
		test()
		cancel()
		running.Wait()
	})
}

func (f *fakeEngines) covered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var held [20]bool
	for _, state := range f.states {
		for l := state.Held.From; l < state.Held.To; l++ {
			held[l] = true
		}
	}
	for _, h := range held {
		if !h {
			return false
		}
	}
	return true
}

func TestEnginesGetAllLayersOnce(t *testing.T) {
	engines := &fakeEngines{}
	placing(t, &fakeHolder{hold: true}, engines, func() {
		time.Sleep(5 * time.Second)
		if !engines.covered() {
			t.Errorf("held: %v", engines.states)
		}
		orders := engines.orders
		time.Sleep(time.Minute)
		if engines.orders != orders {
			t.Errorf("%d orders more, with nothing to change", engines.orders-orders)
		}
	})
}

// A VM without the duty orders nothing, and goes on ordering once it has it.
func TestOnlyTheHolderOrders(t *testing.T) {
	engines, holder := &fakeEngines{}, &fakeHolder{}
	placing(t, holder, engines, func() {
		time.Sleep(10 * time.Second)
		if engines.orders != 0 {
			t.Errorf("%d orders without the duty", engines.orders)
		}
		holder.set(true)
		time.Sleep(5 * time.Second)
		if !engines.covered() {
			t.Error("layers are missing")
		}
	})
}

// Engines carry orders out and their answers are lost. What they report decides, so
// there are no more orders than with answers.
func TestLostAnswersAreNotOrderedAgain(t *testing.T) {
	orders := map[bool]int{}
	for _, silent := range []bool{false, true} {
		engines := &fakeEngines{silent: silent}
		placing(t, &fakeHolder{hold: true}, engines, func() {
			time.Sleep(time.Minute)
			if !engines.covered() {
				t.Error("layers are missing")
			}
			orders[silent] = engines.orders
		})
	}
	if orders[true] != orders[false] {
		t.Errorf("%d orders without answers, %d with them", orders[true], orders[false])
	}
}

// An engine restarts empty. It gets layers again, and none is left without a holder.
func TestRestartedEngineGetsLayers(t *testing.T) {
	engines := &fakeEngines{}
	placing(t, &fakeHolder{hold: true}, engines, func() {
		time.Sleep(5 * time.Second)
		engines.mu.Lock()
		engines.states["2"] = State{}
		engines.mu.Unlock()
		time.Sleep(30 * time.Second)
		if !engines.covered() || engines.states["2"].Held.Len() == 0 {
			t.Errorf("held: %v", engines.states)
		}
	})
}

// An engine starts again under its id and is ordered to load layers. Then an order that was
// meant for its earlier incarnation, and that waited somewhere for seconds, is carried out: the
// orders of both count from 0, so its condition holds. Callers lack the layers that were
// ordered, and the placer waited for them until the load should have ended, up to 5 s here
// and half a minute for large weights.
func TestOrderForTheEarlierIncarnationIsMadeGood(t *testing.T) {
	engines := &fakeEngines{}
	placingOn(t, &fakeHolder{hold: true}, engines, []string{"1", "2"}, func() {
		engines.change("1", State{Born: 1})
		engines.change("2", State{Born: 1})
		time.Sleep(5 * time.Second)
		engines.change("2", State{Born: 2})
		time.Sleep(time.Second)
		ordered := engines.state("2")
		if ordered.Sequence == 0 || !engines.covered() {
			t.Fatalf("after the restart: %+v", ordered)
		}
		engines.change("2", State{Born: 2, Sequence: ordered.Sequence + 1, Held: config.LayerRange{From: 0, To: 1}})
		time.Sleep(time.Second)
		if !engines.covered() {
			t.Errorf("a second after the late order: %v", engines.states)
		}
	})
}

// Discovery still lists an engine's earlier incarnation, whose place in the order of orders
// the next one reaches as well. The engine's own answer tells; an order that was thought out
// for what it held is not sent, and whoever keeps the list hears of the restart.
func TestAnotherIncarnationIsNotOrdered(t *testing.T) {
	engines := &fakeEngines{listedBorn: map[string]int64{"2": 1}}
	placing(t, &fakeHolder{hold: true}, engines, func() {
		for _, name := range []string{"1", "3", "4"} {
			engines.change(name, State{Born: 1})
		}
		engines.change("2", State{Born: 7})
		time.Sleep(5 * time.Second)
		if now := engines.state("2"); now.Sequence != 0 {
			t.Errorf("ordered: %+v", now)
		}
		engines.mu.Lock()
		heard := slices.Contains(engines.heard, incarnation.Key{ID: "2", Born: 7})
		engines.listedBorn = nil
		engines.mu.Unlock()
		if !heard {
			t.Error("nobody was told of the restart")
		}
		time.Sleep(3 * time.Second)
		if now := engines.state("2"); now.Held.Len() == 0 {
			t.Errorf("once it is listed: %+v", now)
		}
	})
}
