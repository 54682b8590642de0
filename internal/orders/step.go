package orders

import (
	"context"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/lease"
)

// maxDoublings bounds how often RetryInterval is doubled after failures in a row.
const maxDoublings = 5

// step reads the engine's state and takes the next action that makes it match its entry.
func (c *Controller) step(ctx context.Context, t *tenure, l lease.Lease, target *config.Target, task *task) stepResult {
	state, err := c.read(ctx, target)
	if err != nil {
		return c.backOff(task, PhaseUnreachable, err.Error())
	}
	task.failures = 0
	task.state = state
	if state.Fencing > l.Fencing {
		return c.backOff(task, PhaseSuperseded, "")
	}
	switch {
	case state.Loading:
		return c.retry(PhaseLoading)
	case c.unresolved(target, task, state):
		return c.retry(PhaseOrderInFlight)
	case stateMatches(target, state):
		return c.complete(ctx, l, target, task)
	case c.options.IsLeaving(target.Name):
		return c.retry(PhaseLeaving)
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

// unresolved reports whether an order of this tenure may still change the engine in a way that the
// state does not show. An order for what the engine already holds changes nothing more.
func (c *Controller) unresolved(target *config.Target, task *task, state engine.State) bool {
	if task.pending == nil || c.options.hooks.resendUnresolved {
		return false
	}
	if stateMatches(target, state) && orderMatches(task.pending.order, target) {
		task.pending = nil
		return false
	}
	return task.pending.mayTakeEffect(time.Now(), c.options.Settings.MaxOrderDelay)
}

// complete sends the engine the new fencing number and ends the drain.
func (c *Controller) complete(ctx context.Context, l lease.Lease, target *config.Target, task *task) stepResult {
	if !c.oldOrdersExpired(l, target) {
		// A late order of the old holder may still reload the engine, and would abort the
		// requests that come once the drain has ended.
		return c.retry(PhaseOldOrdersPending)
	}
	if c.needsFencingUpdate(target, task, l) {
		if v, ok := c.updateFencing(ctx, l, target, task); !ok {
			return v
		}
	}
	if l.Check() != nil && !c.options.hooks.skipLeaseCheck {
		return c.retry(PhaseNoLease)
	}
	c.options.hooks.matched(target.Name, l.Fencing)
	if task.drained && !c.resume(ctx, task) {
		return c.retry(PhaseDraining)
	}
	return stepResult{phase: PhaseAgreed, delay: c.options.Settings.ReadBackInterval}
}

// needsFencingUpdate reports whether the engine has not yet seen the new fencing number. Until then
// it accepts a late order of the old holder, which may be a reload that aborts running requests.
func (c *Controller) needsFencingUpdate(target *config.Target, task *task, l lease.Lease) bool {
	if !target.RefusesOldFencing || c.options.hooks.skipFencingUpdate {
		return false
	}
	return !task.fencingUpdated && task.state.Fencing < l.Fencing
}

// updateFencing sends the order that the engine already satisfies, with the new fencing number. It
// loads nothing, so it needs neither the limits on loads nor a drain.
func (c *Controller) updateFencing(ctx context.Context, l lease.Lease, target *config.Target, task *task) (stepResult, bool) {
	order := newOrder(target, task.state, l.Fencing)
	v, ok := c.order(ctx, l, target, task, order)
	task.fencingUpdated = ok
	if ok {
		task.pending = nil // the engine already satisfied it
	}
	return v, ok
}

// repair drains the engine, waits for the limits on loads and sends the order.
func (c *Controller) repair(ctx context.Context, t *tenure, l lease.Lease, target *config.Target, task *task) stepResult {
	if !c.oldOrdersExpired(l, target) {
		return c.retry(PhaseOldOrdersPending)
	}
	if v, ok := c.drain(ctx, l, target, task); !ok {
		return v
	}
	if !c.reserveLoad(t, task) {
		return c.retry(PhaseLoadLimited)
	}
	if v, ok := c.recheck(ctx, l, target, task); !ok {
		return v
	}
	v, _ := c.order(ctx, l, target, task, c.nextOrder(target, task, l))
	return v
}

// oldOrdersExpired reports whether no order of an earlier holder can still take effect on an engine
// that ignores fencing numbers. It is always true for other engines. The old lease had ended when
// this one was acquired, and the time is counted from then.
func (c *Controller) oldOrdersExpired(l lease.Lease, target *config.Target) bool {
	if target.RefusesOldFencing || l.Fencing == firstFencing || c.options.hooks.skipOldOrderWait {
		return true
	}
	return l.SinceAcquired() >= c.options.Settings.MaxOrderDelay
}

// reserveLoad reports whether the engine may load now. If so, it has taken the load from the rate
// limit of the weight store.
func (c *Controller) reserveLoad(t *tenure, own *task) bool {
	c.mu.Lock()
	loading := 0
	for _, other := range t.tasks {
		if other != own && (other.lastDump.Phase == PhaseLoading || other.lastDump.Phase == PhaseOrderInFlight) {
			loading++
		}
	}
	c.mu.Unlock()
	return loading < c.options.Settings.MaxConcurrentLoads && t.loadLimiter.Allow()
}

// recheck reads the entry and the engine's state again directly before the order. A VM that has
// just become the holder may not have the newest configuration, under which an earlier holder has
// already reloaded the engine and ended the drain. And the earlier state of the engine is from
// before the drain was seen confirmed: requests or another order may have arrived since.
func (c *Controller) recheck(ctx context.Context, l lease.Lease, target *config.Target, task *task) (stepResult, bool) {
	if c.options.hooks.skipDrain {
		return stepResult{}, true
	}
	if err := c.refresh(ctx); err != nil {
		return c.backOff(task, PhaseOutdated, err.Error()), false
	}
	if now := c.options.ConfigSource.Current().Targets[target.Name]; now == nil || now.Revision != target.Revision {
		return c.retry(PhaseOutdated), false
	}
	state, err := c.read(ctx, target)
	if err != nil {
		return c.backOff(task, PhaseUnreachable, err.Error()), false
	}
	task.state = state
	switch {
	case state.Fencing > l.Fencing:
		return c.backOff(task, PhaseSuperseded, ""), false
	case state.Loading:
		return c.retry(PhaseLoading), false
	case state.Active > 0:
		return c.retry(PhaseBusy), false
	case stateMatches(target, state), state.Model != "" && !task.drained:
		return c.retry(PhaseUnread), false // another order took effect meanwhile; start over
	}
	return stepResult{}, true
}

// nextOrder returns the order to send. An order whose answer was lost and that had no effect is
// repeated with its ID, so that a copy which arrives later changes nothing.
func (c *Controller) nextOrder(target *config.Target, task *task, l lease.Lease) engine.Order {
	if p := task.pending; p != nil && p.ambiguous && orderMatches(p.order, target) && !c.options.hooks.resendUnresolved {
		return p.order
	}
	return newOrder(target, task.state, l.Fencing)
}

// retry returns a result after which the next step follows in RetryInterval.
func (c *Controller) retry(phase Phase) stepResult {
	return stepResult{phase: phase, delay: c.options.Settings.RetryInterval}
}

// backOff returns a result whose delay grows with each failure in a row, so that many engines that
// do not answer leave slots for the others.
func (c *Controller) backOff(task *task, phase Phase, detail string) stepResult {
	delay := c.options.Settings.RetryInterval << min(task.failures, maxDoublings)
	task.failures++
	return stepResult{phase: phase, detail: detail, delay: min(delay, c.options.Settings.ReadBackInterval)}
}
