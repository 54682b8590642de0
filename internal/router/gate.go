package router

import (
	"sync/atomic"
	"time"

	"geraniumcroft/internal/outcome"
)

// stoppingRetryAfter is the RetryAfter of all refusals by the gate.
const stoppingRetryAfter = time.Second

// StaleAfter is the age of the newest confirmation of the configuration from which this VM
// may have been paused for so long that its peers consider it dead. A confirmation is
// based on a response of a peer or the store that is at most 3 s old, and peers wait for
// more than 5 s after the last one.
const StaleAfter = 2 * time.Second

// Gate decides whether this VM accepts new requests. It is safe for concurrent use. The
// zero value accepts none, because a VM that has not yet read the configuration in force
// must not serve an older one.
type Gate struct {
	loaded      atomic.Bool
	draining    atomic.Bool
	stopped     atomic.Bool
	isolated    atomic.Bool
	confirmedAt atomic.Pointer[time.Time]
}

// ConfirmConfig records that this VM now has the configuration in force, as far as the
// store or the peers show. After its first call, it must be called again each time before
// StaleAfter has passed.
func (g *Gate) ConfirmConfig() {
	now := time.Now()
	g.confirmedAt.Store(&now)
}

// Stale reports whether the last confirmation of the configuration is older than
// StaleAfter. A VM that was frozen and continues would otherwise serve the configuration
// that was in force before, although changes were accepted without it: a drained target,
// for example, would get new requests. The monotonic clock may have stopped together with
// the VM, so the longer of the monotonic and the wall time counts.
func (g *Gate) Stale() bool {
	confirmedAt := g.confirmedAt.Load()
	if confirmedAt == nil {
		return false
	}
	now := time.Now()
	monotonic := now.Sub(*confirmedAt)
	wall := now.Round(0).Sub(confirmedAt.Round(0))
	return max(monotonic, wall) > StaleAfter
}

// SetLoaded records that the configuration in force has been read.
func (g *Gate) SetLoaded() { g.loaded.Store(true) }

// SetIsolated sets whether this VM reaches neither the store nor any peer.
func (g *Gate) SetIsolated(isolated bool) { g.isolated.Store(isolated) }

// BeginDrain makes Ready return false while requests are still accepted, so that the load
// balancer detects the shutdown before any request is refused.
func (g *Gate) BeginDrain() { g.draining.Store(true) }

// Stop makes the gate refuse new requests. Requests in progress continue.
func (g *Gate) Stop() { g.stopped.Store(true) }

// Draining reports whether this VM is stopping.
func (g *Gate) Draining() bool { return g.draining.Load() || g.stopped.Load() }

// Ready reports whether the load balancer should send new requests to this VM.
func (g *Gate) Ready() bool {
	return g.loaded.Load() && !g.draining.Load() && !g.stopped.Load() && !g.isolated.Load() && !g.Stale()
}

// Check returns the failure with which a new request is refused, or nil if it is accepted.
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

// State returns the gate's state, for the dump.
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
