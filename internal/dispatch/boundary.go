package dispatch

import (
	"sync"

	"geraniumcroft/internal/invariant"
)

// SendGuard is the dispatch boundary of one request. A request that is not
// idempotent crosses it at most once, unless the service itself declared that
// the call before did not run.
type SendGuard struct {
	requestID  string
	idempotent bool
	invariants *invariant.Registry

	mu      sync.Mutex // guards the fields below
	crossed int
	closed  bool
}

// NewSendGuard returns the boundary of a request that has not been sent.
func NewSendGuard(requestID string, idempotent bool, invariants *invariant.Registry) *SendGuard {
	return &SendGuard{requestID: requestID, idempotent: idempotent, invariants: invariants}
}

// BeginSend records that the call is about to be sent and reports whether it may be.
//
// A second crossing of a request that is not idempotent would run it twice; the
// caller of the service would see two holds for one request. The check and the
// record are one step under the lock, so of two racing attempts only one passes.
func (b *SendGuard) BeginSend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	first := b.idempotent || b.crossed == 0
	if !b.invariants.Check(first, invariant.OneDispatch, "request %s", b.requestID) {
		return false
	}
	b.crossed++
	return true
}

// MarkNotRun takes one crossing back: the service answered that it did not
// run the call.
func (b *SendGuard) MarkNotRun() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crossed--
}

// MayHaveRun reports whether a call was sent and not declared as not run.
func (b *SendGuard) MayHaveRun() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crossed > 0
}

// Close refuses crossings from now on. An attempt that was still connecting
// finds the boundary closed and gives up, so "not run", said after Close, stays
// true.
func (b *SendGuard) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}
