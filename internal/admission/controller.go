package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
)

// Controller admits requests to pools. It is safe for concurrent use.
type Controller struct {
	settings   Settings
	invariants *invariant.Registry
	starved    atomic.Pointer[func(pool string, r *Request)]

	pools sync.Map // string to *pool
}

// New returns a controller. A pool is created with the first request for it.
func New(s Settings, inv *invariant.Registry) *Controller {
	return &Controller{settings: s.withDefaults(), invariants: inv}
}

// OnStarved sets the function that is called when an urgent request has to wait,
// and then every Settings.StarvedInterval while it still waits. It is called
// without a lock held.
func (c *Controller) OnStarved(f func(pool string, r *Request)) { c.starved.Store(&f) }

// Admit waits until it is the request's turn and calls try, which reports whether
// it took capacity; it may call try several times. try runs with the lock of the
// pool held and must not block. Admit returns nil once try has returned true.
// Otherwise it returns an *outcome.Failure with the outcome NotRun, and try is not
// called any more.
func (c *Controller) Admit(ctx context.Context, r *Request, try func() bool) error {
	// A nil *outcome.Failure converted to an error would not be equal to nil.
	if failure := c.admit(ctx, r, try); failure != nil {
		return failure
	}
	return nil
}

func (c *Controller) admit(ctx context.Context, r *Request, try func() bool) *outcome.Failure {
	if ctx.Err() != nil {
		return refuseEnded(ctx)
	}
	p := c.pool(r.Pool)
	w, failure := p.admitOrQueue(r, try)
	if w == nil {
		return failure
	}
	failure = p.await(ctx, w, c.starvedBy(r))
	if failure != nil {
		// The requests behind this one may be able to start now.
		c.Wake(r.Pool)
	}
	return failure
}

// starvedBy returns the function to call while r waits, nil if there is none.
func (c *Controller) starvedBy(r *Request) func() {
	f := c.starved.Load()
	if f == nil || r.Urgency != config.Urgent {
		return nil
	}
	return func() { (*f)(r.Pool, r) }
}

// Wake starts queued requests of the pool. It must be called when capacity may
// have become free. It does not wait for a lock and may be called from any
// context, including from within try.
func (c *Controller) Wake(name string) {
	found, ok := c.pools.Load(name)
	if !ok {
		return
	}
	if p := found.(*pool); p.pending.Load() > 0 {
		p.wakePending.Store(true)
		p.serveWakes()
	}
}

// WakeAll calls Wake for all pools.
func (c *Controller) WakeAll() {
	c.pools.Range(func(name, _ any) bool {
		c.Wake(name.(string))
		return true
	})
}

// Finished records that a started request of the pool ended after a service time
// of took.
func (c *Controller) Finished(name string, took time.Duration) {
	c.pool(name).finished(took)
}

// pool returns the pool with that name, which it creates if it does not exist.
func (c *Controller) pool(name string) *pool {
	if found, ok := c.pools.Load(name); ok {
		return found.(*pool)
	}
	found, _ := c.pools.LoadOrStore(name, newPool(name, c.settings))
	return found.(*pool)
}
