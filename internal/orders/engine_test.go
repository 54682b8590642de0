package orders

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

const defaultLoadTime = 2 * time.Second

var errOldFencing = errors.New("a higher fencing number was seen")

// received is an order that an engine received.
type received struct {
	order    engine.Order
	at       time.Time
	accepted bool
	// reloaded says that the order changed what the engine holds.
	reloaded bool
}

// fakeEngine applies orders, with or without a check of the fencing number, and counts the requests
// that a reload aborts.
type fakeEngine struct {
	target   *config.Target
	events   *history
	loadTime time.Duration

	mu       sync.Mutex // guards the fields below
	state    engine.State
	loadedAt time.Time
	ids      map[string]bool
	received []received
	aborted  int
}

func newFakeEngine(target *config.Target, events *history) *fakeEngine {
	return &fakeEngine{
		target:   target,
		events:   events,
		loadTime: defaultLoadTime,
		ids:      map[string]bool{},
		state: engine.State{
			Model:    target.Model,
			Version:  target.Version,
			Adapters: target.Adapters,
			Layers:   target.Layers,
		},
	}
}

func (e *fakeEngine) read() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Loading = time.Now().Before(e.loadedAt)
	if !e.target.RefusesOldFencing {
		state.Fencing = 0
	}
	return state
}

func (e *fakeEngine) apply(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	got := received{order: order, at: time.Now(), accepted: true}
	defer func() {
		e.received = append(e.received, got)
		e.events.order(e.target.Name, order.Fencing, got.accepted)
	}()
	if e.target.RefusesOldFencing && order.Fencing < e.state.Fencing {
		got.accepted = false
		return errOldFencing
	}
	e.state.Fencing = max(e.state.Fencing, order.Fencing)
	if e.ids[order.ID] {
		return nil
	}
	e.ids[order.ID] = true
	got.reloaded = e.load(order)
	return nil
}

func (e *fakeEngine) load(order engine.Order) bool {
	same := order.Model == e.state.Model && order.Version == e.state.Version && order.Layers == e.state.Layers
	e.state.Model, e.state.Version, e.state.Layers = order.Model, order.Version, order.Layers
	e.state.Adapters = slices.Clone(order.Adapters)
	if same {
		return false
	}
	e.loadedAt = time.Now().Add(e.loadTime)
	e.aborted += e.state.Active
	e.state.Active = 0
	return true
}

func (e *fakeEngine) setState(state engine.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
}

func (e *fakeEngine) addWork(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Active = max(0, e.state.Active+n)
}

func (e *fakeEngine) counts() (orders, reloads, refused, aborted int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, got := range e.received {
		orders++
		if got.reloaded {
			reloads++
		}
		if !got.accepted {
			refused++
		}
	}
	return orders, reloads, refused, e.aborted
}

func (e *fakeEngine) allReceived() []received {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}
