package router

import (
	"sync/atomic"
	"time"

	"geraniumcroft/internal/outcome"
)

const stoppingRetryAfter = time.Second

// StaleAfter is the age of the newest proof from which a VM may have been paused
// for so long that its peers hold it dead. A proof rests on an answer of a peer or
// the store that is at most 3 s old, and peers wait for more than 5 s after the
// last one.
const StaleAfter = 2 * time.Second

// Gate says whether this VM takes new requests. The zero value takes none: a VM
// that has not yet read the configuration in force must not serve an older one.
type Gate struct {
	loaded   atomic.Bool
	draining atomic.Bool
	stopped  atomic.Bool
	isolated atomic.Bool
	proven   atomic.Pointer[time.Time]
}

// ConfirmConfig says that this VM has, as far as store or peers can tell, the
// configuration in force now. Once it was called, it has to be called again before
// StaleAfter has passed.
func (g *Gate) ConfirmConfig() {
	now := time.Now()
	g.proven.Store(&now)
}

// Stale reports whether the last proof is too old. A VM that is frozen and wakes
// would otherwise serve what was in force when it fell asleep, although changes
// were accepted without it: a drained target would get new work. The clock that
// counts may have stood still with the VM, so the longer of the monotonic and the
// wall time counts.
func (g *Gate) Stale() bool {
	proven := g.proven.Load()
	if proven == nil {
		return false
	}
	now := time.Now()
	monotonic := now.Sub(*proven)
	wall := now.Round(0).Sub(proven.Round(0))
	return max(monotonic, wall) > StaleAfter
}

// SetLoaded tells that the configuration in force has been read.
func (g *Gate) SetLoaded() { g.loaded.Store(true) }

// SetIsolated tells whether this VM reaches neither the store nor any peer.
func (g *Gate) SetIsolated(isolated bool) { g.isolated.Store(isolated) }

// BeginDrain makes Ready false while requests are still taken, so that the
// balancer learns of the stop before anything is refused.
func (g *Gate) BeginDrain() { g.draining.Store(true) }

// Stop refuses new requests from now on; those in hand go on.
func (g *Gate) Stop() { g.stopped.Store(true) }

// Ready is what the balancer asks.
func (g *Gate) Ready() bool {
	return g.loaded.Load() && !g.draining.Load() && !g.stopped.Load() && !g.isolated.Load() && !g.Stale()
}

// Check returns why a new request is refused, or nil.
func (g *Gate) Check() *outcome.Failure {
	switch {
	case g.stopped.Load():
		return outcome.Refuse(outcome.ReasonStopping, "this VM is stopping; send the request again").WithRetryAfter(stoppingRetryAfter)
	case !g.loaded.Load():
		return outcome.Refuse(outcome.ReasonStopping, "this VM has not read the configuration yet").WithRetryAfter(stoppingRetryAfter)
	case g.isolated.Load(), g.Stale():
		return outcome.Refuse(outcome.ReasonIsolated, "this VM may not have the configuration in force").WithRetryAfter(stoppingRetryAfter)
	}
	return nil
}

// State describes the gate, for the dump.
func (g *Gate) State() GateState {
	return GateState{Loaded: g.loaded.Load(), Draining: g.draining.Load(), Stopped: g.stopped.Load(), Isolated: g.isolated.Load(), Stale: g.Stale(), Ready: g.Ready()}
}

// GateState is a Gate's state, for the dump.
type GateState struct {
	Loaded   bool `json:"loaded"`
	Draining bool `json:"draining"`
	Stopped  bool `json:"stopped"`
	Isolated bool `json:"isolated"`
	Stale    bool `json:"stale"`
	Ready    bool `json:"ready"`
}
