package enginesim

import (
	"net/http"
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/engine/httpengine"
)

// report is the present load; the caller holds the lock.
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

// Load returns the load report, late by the ordered lag.
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

// CacheEvents returns the cache events above after, late by the lag of the options.
func (e *Engine) CacheEvents(after uint64) engine.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.events(after, time.Now().Add(-e.options.CacheEventLag))
}

// State returns what the engine holds.
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

// obey carries out an order or refuses it.
func (e *Engine) obey(order engine.Order) *refusal {
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
	e.change(order)
	return nil
}

// change loads what the order says. Requests in hand are cut off, as a real engine
// cannot go on without its weights.
func (e *Engine) change(order engine.Order) {
	wanted := engine.State{Model: order.Model, Version: order.Version, Adapters: order.Adapters, Layers: order.Layers, Role: order.Role}
	reload := wanted.Model != e.held.Model || wanted.Version != e.held.Version || wanted.Layers != e.held.Layers
	e.held = wanted
	if !reload {
		return
	}
	e.loadedAt = time.Now().Add(e.options.LoadTime)
	for _, st := range e.stages {
		if !st.over {
			e.counts.CutOff++
		}
		st.fail(st.open.Index, messageReloading)
		e.end(st)
	}
	e.kv.Purge()
	e.cache = newPrefixCache(e.options.CacheBlocks)
}
