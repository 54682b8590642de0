package router

import (
	"sync/atomic"
	"time"

	"geraniumcroft/internal/outcome"
)

const stoppingRetryAfter = time.Second

// Gate says whether this VM takes new requests. The zero value takes none: a VM
// that has not yet read the configuration in force must not serve an older one.
type Gate struct {
	loaded   atomic.Bool
	draining atomic.Bool
	stopped  atomic.Bool
	isolated atomic.Bool
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
	return g.loaded.Load() && !g.draining.Load() && !g.stopped.Load() && !g.isolated.Load()
}

// Check returns why a new request is refused, or nil.
func (g *Gate) Check() *outcome.Failure {
	switch {
	case g.stopped.Load():
		return outcome.Refuse(outcome.ReasonStopping, "this VM is stopping; send the request again").WithRetryAfter(stoppingRetryAfter)
	case !g.loaded.Load():
		return outcome.Refuse(outcome.ReasonStopping, "this VM has not read the configuration yet").WithRetryAfter(stoppingRetryAfter)
	case g.isolated.Load():
		return outcome.Refuse(outcome.ReasonIsolated, "this VM reaches neither the store nor its peers").WithRetryAfter(stoppingRetryAfter)
	}
	return nil
}

// State describes the gate, for the dump.
func (g *Gate) State() GateState {
	return GateState{Loaded: g.loaded.Load(), Draining: g.draining.Load(), Stopped: g.stopped.Load(), Isolated: g.isolated.Load(), Ready: g.Ready()}
}

// GateState is a Gate's state, for the dump.
type GateState struct {
	Loaded   bool `json:"loaded"`
	Draining bool `json:"draining"`
	Stopped  bool `json:"stopped"`
	Isolated bool `json:"isolated"`
	Ready    bool `json:"ready"`
}
