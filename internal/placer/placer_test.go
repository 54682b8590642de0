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

// fakeEngines are replicas that carry out orders at once.
type fakeEngines struct {
	mu     sync.Mutex // guards the fields below
	states map[string]State
	orders int
	// dropAnswers makes Place carry out the order and return an error.
	dropAnswers bool
	// listedBorn is the start of an earlier incarnation that discovery still lists, by replica.
	listedBorn map[string]int64
	// observed are the incarnations that were passed to ObserveIncarnation.
	observed []incarnation.Key
}

func (f *fakeEngines) observe(k incarnation.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observed = append(f.observed, k)
}

// reported returns the load report of an incarnation, as Options.LastReport does.
func (f *fakeEngines) reported(k incarnation.Key) (layers.Load, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, ok := f.states[k.ID]
	return layers.Load{Born: state.Born, Sequence: state.Sequence, Held: state.Held}, ok && state.Born == k.Born
}

// setState replaces a replica's state, as a restart or an order of another holder does.
func (f *fakeEngines) setState(name string, state State) {
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
	if f.dropAnswers {
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

// list returns the replicas as discovery lists them.
func (f *fakeEngines) list(names ...string) []layers.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	var replicas []layers.Replica
	for _, name := range names {
		r := layers.Replica{ID: name, Born: f.states[name].Born, Address: name, DataCentre: "a", Kind: "card", Held: f.states[name].Held}
		if born, stale := f.listedBorn[name]; stale {
			r.Born, r.Held = born, config.LayerRange{}
		}
		replicas = append(replicas, r)
	}
	return replicas
}

// runPlacer runs a placer with four replicas in virtual time while test runs.
func runPlacer(t *testing.T, holder *fakeHolder, engines *fakeEngines, test func()) {
	runPlacerOn(t, holder, engines, []string{"1", "2", "3", "4"}, test)
}

func runPlacerOn(t *testing.T, holder *fakeHolder, engines *fakeEngines, names []string, test func()) {
	synctest.Test(t, func(t *testing.T) {
		engines.states = map[string]State{}
		p := New(Options{Engines: engines, Holder: holder, Logger: zap.NewNop(), ObserveIncarnation: engines.observe, LastReport: engines.reported,
			Model: func() (*layers.Spec, []layers.Replica) { return testSpec(), engines.list(names...) }})
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
	runPlacer(t, &fakeHolder{hold: true}, engines, func() {
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

// A VM without the lease sends no orders, and starts to do so once it has the lease.
func TestOnlyTheHolderSendsOrders(t *testing.T) {
	engines, holder := &fakeEngines{}, &fakeHolder{}
	runPlacer(t, holder, engines, func() {
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

// Replicas carry out orders, and their answers are lost. Guards against repeated orders: what the
// replicas report decides, so there are as many orders as with answers.
func TestLostAnswersCauseNoFurtherOrders(t *testing.T) {
	orders := map[bool]int{}
	for _, dropAnswers := range []bool{false, true} {
		engines := &fakeEngines{dropAnswers: dropAnswers}
		runPlacer(t, &fakeHolder{hold: true}, engines, func() {
			time.Sleep(time.Minute)
			if !engines.covered() {
				t.Error("layers are missing")
			}
			orders[dropAnswers] = engines.orders
		})
	}
	if orders[true] != orders[false] {
		t.Errorf("%d orders without answers, %d with them", orders[true], orders[false])
	}
}

// A replica restarts without layers. It gets some again, and all layers are held.
func TestRestartedEngineGetsLayers(t *testing.T) {
	engines := &fakeEngines{}
	runPlacer(t, &fakeHolder{hold: true}, engines, func() {
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

// A replica restarts under its id and is ordered to load layers. Then an order to its earlier
// incarnation, delayed for seconds, is carried out: both count their orders from 0, so its
// condition holds. Guards against a placer that waits for the ordered layers until the load
// should have ended, up to 5 s here and half a minute for large weights, in which callers lack
// these layers.
func TestOrderForTheEarlierIncarnationIsMadeGood(t *testing.T) {
	engines := &fakeEngines{}
	runPlacerOn(t, &fakeHolder{hold: true}, engines, []string{"1", "2"}, func() {
		engines.setState("1", State{Born: 1})
		engines.setState("2", State{Born: 1})
		time.Sleep(5 * time.Second)
		engines.setState("2", State{Born: 2})
		time.Sleep(time.Second)
		ordered := engines.state("2")
		if ordered.Sequence == 0 || !engines.covered() {
			t.Fatalf("after the restart: %+v", ordered)
		}
		engines.setState("2", State{Born: 2, Sequence: ordered.Sequence + 1, Held: config.LayerRange{From: 0, To: 1}})
		time.Sleep(time.Second)
		if !engines.covered() {
			t.Errorf("a second after the late order: %v", engines.states)
		}
	})
}

// Discovery still lists a replica's earlier incarnation, and the next one reaches the same
// sequence of orders. The replica's answer shows which one it is: an order that was computed for
// the earlier one is not sent, and the restart is passed to ObserveIncarnation.
func TestAnotherIncarnationIsNotOrdered(t *testing.T) {
	engines := &fakeEngines{listedBorn: map[string]int64{"2": 1}}
	runPlacer(t, &fakeHolder{hold: true}, engines, func() {
		for _, name := range []string{"1", "3", "4"} {
			engines.setState(name, State{Born: 1})
		}
		engines.setState("2", State{Born: 7})
		time.Sleep(5 * time.Second)
		if now := engines.state("2"); now.Sequence != 0 {
			t.Errorf("ordered: %+v", now)
		}
		engines.mu.Lock()
		observed := slices.Contains(engines.observed, incarnation.Key{ID: "2", Born: 7})
		engines.listedBorn = nil
		engines.mu.Unlock()
		if !observed {
			t.Error("the restart was not passed on")
		}
		time.Sleep(3 * time.Second)
		if now := engines.state("2"); now.Held.Len() == 0 {
			t.Errorf("once it is listed: %+v", now)
		}
	})
}
