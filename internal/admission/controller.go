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

// New returns a controller without pools; they come with their first request.
func New(s Settings, inv *invariant.Registry) *Controller {
	return &Controller{settings: s.withDefaults(), invariants: inv}
}

// OnStarved sets the function that is called, outside of any lock, when an
// urgent request has to wait, and again at an interval while it still does.
func (c *Controller) OnStarved(f func(pool string, r *Request)) { c.starved.Store(&f) }

// Admit calls try when it is the request's turn. try must not block: it runs
// under the pool's lock and reports whether it took capacity. Admit returns nil
// when try returned true, else an *outcome.Failure: NotRun, and try is not
// called again.
func (c *Controller) Admit(ctx context.Context, r *Request, try func() bool) error {
	// A nil *outcome.Failure in an error would not be equal to nil.
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
	w, failure := p.enter(r, try)
	if w == nil {
		return failure
	}
	failure = p.await(ctx, w, c.starvedBy(r))
	if failure != nil {
		// The request may have been the one that those behind it waited for.
		c.Wake(r.Pool)
	}
	return failure
}

func (c *Controller) starvedBy(r *Request) func() {
	f := c.starved.Load()
	if f == nil || r.Urgency != config.Urgent {
		return nil
	}
	return func() { (*f)(r.Pool, r) }
}

// Wake starts queued requests of the pool after capacity may have come free. It
// waits for no lock and may be called from anywhere, from within try too.
func (c *Controller) Wake(name string) {
	found, ok := c.pools.Load(name)
	if !ok {
		return
	}
	if p := found.(*pool); p.interested.Load() > 0 {
		p.woken.Store(true)
		p.serveWakes()
	}
}

// WakeAll is Wake for all pools.
func (c *Controller) WakeAll() {
	c.pools.Range(func(name, _ any) bool {
		c.Wake(name.(string))
		return true
	})
}

// Finished records that a request of the pool ended after that time of service.
func (c *Controller) Finished(name string, took time.Duration) {
	c.pool(name).finished(took)
}

func (c *Controller) pool(name string) *pool {
	if found, ok := c.pools.Load(name); ok {
		return found.(*pool)
	}
	found, _ := c.pools.LoadOrStore(name, newPool(name, c.settings))
	return found.(*pool)
}
