package orders

import (
	"context"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/lease"
)

// maxDoublings bounds how much slower an engine that does not answer is looked at.
const maxDoublings = 5

// step reads the engine back and does the next thing that brings it to agree.
func (c *Controller) step(ctx context.Context, t *tenure, l lease.Lease, target *config.Target, task *task) verdict {
	state, err := c.read(ctx, target)
	if err != nil {
		return c.slower(task, PhaseUnreachable, err.Error())
	}
	task.failures = 0
	task.state = state
	if state.Fencing > l.Fencing {
		return c.slower(task, PhaseSuperseded, "")
	}
	switch {
	case state.Loading:
		return c.again(PhaseLoading)
	case c.unresolved(target, task, state):
		return c.again(PhaseOrderInFlight)
	case agrees(target, state):
		return c.agreed(ctx, l, target, task)
	case c.options.IsLeaving(target.Name):
		return c.again(PhaseLeaving)
	}
	return c.repair(ctx, t, l, target, task)
}

func (c *Controller) read(ctx context.Context, target *config.Target) (engine.State, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Settings.CallTimeout)
	defer cancel()
	return c.options.Engines.State(ctx, target.Address)
}

func (c *Controller) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Settings.CallTimeout)
	defer cancel()
	return c.options.Refresh(ctx)
}

// unresolved reports whether an order of this tenure may yet change the engine in a
// way that the state does not show. An order that asks for what the engine holds
// already changes nothing more.
func (c *Controller) unresolved(target *config.Target, task *task, state engine.State) bool {
	if task.pending == nil || c.options.hooks.repeatBlind {
		return false
	}
	if agrees(target, state) && asks(task.pending.order, target) {
		task.pending = nil
		return false
	}
	return task.pending.mayBeUnderWay(time.Now(), c.options.Settings.MaxOrderDelay)
}

// agreed gives the engine the new fencing number and lets it have work again.
func (c *Controller) agreed(ctx context.Context, l lease.Lease, target *config.Target, task *task) verdict {
	if !c.waitedOut(l, target) {
		// A late order of the old holder may yet reload the engine: work that a drain
		// keeps away now would be cut off.
		return c.again(PhaseOldOrdersPending)
	}
	if c.needsStamp(target, task, l) {
		if v, ok := c.stamp(ctx, l, target, task); !ok {
			return v
		}
	}
	if l.Check() != nil && !c.options.hooks.skipCheck {
		return c.again(PhaseNoLease)
	}
	c.options.hooks.agreed(target.Name, l.Fencing)
	if task.drained && !c.resume(ctx, task) {
		return c.again(PhaseDraining)
	}
	return verdict{phase: PhaseAgreed, after: c.options.Settings.ReadBackInterval}
}

// needsStamp: until an engine has seen the new number, it takes a late order of the
// old holder, which could be a reload that cuts off work in hand.
func (c *Controller) needsStamp(target *config.Target, task *task, l lease.Lease) bool {
	if !target.RefusesOldFencing || c.options.hooks.skipStamp {
		return false
	}
	return !task.stamped && task.state.Fencing < l.Fencing
}

// stamp sends the order that the engine already satisfies. It loads nothing, so it
// is neither spaced nor preceded by a drain.
func (c *Controller) stamp(ctx context.Context, l lease.Lease, target *config.Target, task *task) (verdict, bool) {
	order := newOrder(target, task.state, l.Fencing)
	v, ok := c.order(ctx, l, target, task, order)
	task.stamped = ok
	if ok {
		task.pending = nil // its effect was there before
	}
	return v, ok
}

// repair drains the engine, waits its turn at the weight store and orders.
func (c *Controller) repair(ctx context.Context, t *tenure, l lease.Lease, target *config.Target, task *task) verdict {
	if !c.waitedOut(l, target) {
		return c.again(PhaseOldOrdersPending)
	}
	if v, ok := c.drain(ctx, l, target, task); !ok {
		return v
	}
	if !c.mayLoad(t, task) {
		return c.again(PhaseLoadLimited)
	}
	if v, ok := c.lastLook(ctx, l, target, task); !ok {
		return v
	}
	v, _ := c.order(ctx, l, target, task, c.nextOrder(target, task, l))
	return v
}

// waitedOut reports whether no order of an earlier holder can be under way to an
// engine that would obey it. The old lease itself had ended when this one was
// acquired, and the time counts from after that.
func (c *Controller) waitedOut(l lease.Lease, target *config.Target) bool {
	if target.RefusesOldFencing || l.Fencing == firstFencing || c.options.hooks.skipWait {
		return true
	}
	return l.SinceAcquired() >= c.options.Settings.MaxOrderDelay
}

// mayLoad takes the engine's turn at the weight store.
func (c *Controller) mayLoad(t *tenure, own *task) bool {
	c.mu.Lock()
	loading := 0
	for _, other := range t.tasks {
		if other != own && (other.view.Phase == PhaseLoading || other.view.Phase == PhaseOrderInFlight) {
			loading++
		}
	}
	c.mu.Unlock()
	return loading < c.options.Settings.MaxConcurrentLoads && t.loads.Allow()
}

// lastLook reads the entry and the engine once more directly before the order. A VM
// that has just become the holder may not have the newest configuration, in which an
// earlier holder has already reloaded the engine and let work in again. And the
// earlier reading of the engine is from before the drain was seen confirmed: work or
// another order may have come since.
func (c *Controller) lastLook(ctx context.Context, l lease.Lease, target *config.Target, task *task) (verdict, bool) {
	if c.options.hooks.skipDrain {
		return verdict{}, true
	}
	if err := c.refresh(ctx); err != nil {
		return c.slower(task, PhaseOutdated, err.Error()), false
	}
	if now := c.options.ConfigSource.Current().Targets[target.Name]; now == nil || now.Revision != target.Revision {
		return c.again(PhaseOutdated), false
	}
	state, err := c.read(ctx, target)
	if err != nil {
		return c.slower(task, PhaseUnreachable, err.Error()), false
	}
	task.state = state
	switch {
	case state.Fencing > l.Fencing:
		return c.slower(task, PhaseSuperseded, ""), false
	case state.Loading:
		return c.again(PhaseLoading), false
	case state.Active > 0:
		return c.again(PhaseBusy), false
	case agrees(target, state), state.Model != "" && !task.drained:
		return c.again(PhaseUnread), false // another order came between; start over
	}
	return verdict{}, true
}

// nextOrder repeats an order whose answer was lost and that had no effect, with its
// ID, so that a copy which is late after all changes nothing.
func (c *Controller) nextOrder(target *config.Target, task *task, l lease.Lease) engine.Order {
	if p := task.pending; p != nil && p.ambiguous && asks(p.order, target) && !c.options.hooks.repeatBlind {
		return p.order
	}
	return newOrder(target, task.state, l.Fencing)
}

func (c *Controller) again(phase Phase) verdict {
	return verdict{phase: phase, after: c.options.Settings.RetryInterval}
}

// slower looks again later each time, so that many engines which do not answer leave
// the slots to the others.
func (c *Controller) slower(task *task, phase Phase, detail string) verdict {
	after := c.options.Settings.RetryInterval << min(task.failures, maxDoublings)
	task.failures++
	return verdict{phase: phase, detail: detail, after: min(after, c.options.Settings.ReadBackInterval)}
}
