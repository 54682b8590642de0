package dispatch

import (
	"sync"

	"geraniumcroft/internal/invariant"
)

// SendGuard tracks whether the call of one request has been sent. It lets the call of
// a request that is not idempotent be sent at most once, unless the service declared
// that it did not run the previous call. It is safe for concurrent use.
type SendGuard struct {
	requestID  string
	idempotent bool
	invariants *invariant.Registry

	mu     sync.Mutex // guards the fields below
	sends  int        // calls sent, except those declared as not run
	closed bool
}

// NewSendGuard returns the guard of a request that has not been sent.
func NewSendGuard(requestID string, idempotent bool, invariants *invariant.Registry) *SendGuard {
	return &SendGuard{requestID: requestID, idempotent: idempotent, invariants: invariants}
}

// BeginSend records that the call is about to be sent, and reports whether it may be.
//
// A second send of a request that is not idempotent could run it twice; the caller of
// the service would see two holds for one request. Check and record are one critical
// section, so only one of two concurrent attempts succeeds.
func (g *SendGuard) BeginSend() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	first := g.idempotent || g.sends == 0
	if !g.invariants.Check(first, invariant.OneDispatch, "request %s", g.requestID) {
		return false
	}
	g.sends++
	return true
}

// MarkNotRun undoes one BeginSend, after the service declared that it did not run the
// call.
func (g *SendGuard) MarkNotRun() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sends--
}

// MayHaveRun reports whether a call was sent that was not declared as not run.
func (g *SendGuard) MayHaveRun() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sends > 0
}

// Close makes all later calls of BeginSend return false. An attempt that is still
// connecting then cannot send the call, so an outcome "not run" that is reported after
// Close remains true.
func (g *SendGuard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}
