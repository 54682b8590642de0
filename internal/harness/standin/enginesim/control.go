package enginesim

import (
	"net/http"
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/engine/httpengine"
)

// report returns the current load. The caller must hold the lock.
func (e *Engine) report() engine.LoadReport {
	now := time.Now()
	return engine.LoadReport{
		At:              now,
		Active:          e.active,
		Queued:          len(e.sched.ready),
		Slots:           e.options.Slots,
		TokensPerSecond: e.loads.measure(now, e.counts.Tokens),
		Leaving:         e.faults.Leaving,
	}
}

// Load returns the load report, delayed by Faults.LoadLag.
func (e *Engine) Load() engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := time.Duration(e.faults.LoadLag)
	if lag == 0 {
		return e.report()
	}
	then := time.Now().Add(-lag)
	report, ok := e.loads.before(then)
	if !ok {
		return engine.LoadReport{At: then, Slots: e.options.Slots}
	}
	return report
}

// CacheEvents returns the cache events with sequence numbers above after, delayed by
// Options.CacheEventLag.
func (e *Engine) CacheEvents(after uint64) engine.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.events(after, time.Now().Add(-e.options.CacheEventLag))
}

// State returns the model, layers and adapters that the engine holds and its fencing
// number. An engine that ignores fencing numbers reports none.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.held
	state.Active = e.active
	state.Loading = time.Now().Before(e.loadedAt)
	if !e.faults.IgnoresFencing {
		state.Fencing = e.fencing
	}
	return state
}

// applyOrder carries out an order or refuses it. An order with the ID of the last one
// is a repeat and has no effect.
func (e *Engine) applyOrder(order engine.Order) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fencing < e.fencing {
		e.counts.OldFencing++
		if !e.faults.IgnoresFencing {
			return &refusal{http.StatusConflict, httpengine.CodeOldFencing, "a higher fencing number was seen"}
		}
	}
	e.fencing = max(e.fencing, order.Fencing)
	if order.ID == e.orderID {
		return nil
	}
	e.orderID = order.ID
	e.counts.Orders++
	e.setHeld(order)
	return nil
}

// setHeld loads the weights that the order names. Requests in progress are cut off,
// since a real engine cannot continue without its weights. The caller must hold the
// lock.
func (e *Engine) setHeld(order engine.Order) {
	wanted := engine.State{Model: order.Model, Version: order.Version, Adapters: order.Adapters, Layers: order.Layers, Role: order.Role}
	reload := wanted.Model != e.held.Model || wanted.Version != e.held.Version || wanted.Layers != e.held.Layers
	e.held = wanted
	if !reload {
		return
	}
	e.loadedAt = time.Now().Add(e.options.LoadTime)
	for _, st := range e.stages {
		if !st.ended {
			e.counts.CutOff++
		}
		st.fail(st.open.Index, messageReloading)
		e.removeStage(st)
	}
	e.kv.Purge()
	e.cache = newPrefixCache(e.options.CacheBlocks)
}
