package orders

import (
	"context"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/lease"
)

// drain ensures that a reload aborts no requests. It reports whether the engine holds nothing, or
// gets no new requests and has none running.
func (c *Controller) drain(ctx context.Context, l lease.Lease, target *config.Target, task *task) (stepResult, bool) {
	if task.state.Model == "" || c.options.hooks.skipDrain {
		return stepResult{}, true
	}
	if l.Check() != nil && !c.options.hooks.skipLeaseCheck {
		return c.retry(PhaseNoLease), false
	}
	confirmed, err := c.requestDrain(ctx, target, task)
	if err != nil {
		return c.backOff(task, PhaseDraining, err.Error()), false
	}
	now := time.Now()
	if !confirmed {
		task.confirmed = time.Time{}
		return c.retry(PhaseDraining), false
	}
	if task.confirmed.IsZero() {
		task.confirmed = now
	}
	// A request that a VM sent just before the drain was confirmed may not have reached the
	// engine. The engine's state is used only after such a request would show in it.
	if now.Sub(task.confirmed) < c.options.Settings.VisibilityDelay {
		return c.retry(PhaseDraining), false
	}
	if task.state.Active > 0 {
		return c.retry(PhaseBusy), false
	}
	return stepResult{}, true
}

// requestDrain asks for the drain and reports whether it is confirmed. The confirmation is read
// again at each step, because a VM that joined since must have confirmed as well.
func (c *Controller) requestDrain(ctx context.Context, target *config.Target, task *task) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Settings.CallTimeout)
	defer cancel()
	if !task.drained {
		// Set before the call: a drain whose answer is lost must be ended too.
		task.drained = true
		if err := c.options.Drainer.Drain(ctx, target.Name); err != nil {
			task.drained = false
			return false, err
		}
	}
	return c.options.Drainer.Drained(ctx, target.Name)
}

// resume ends the drain and reports whether that succeeded.
func (c *Controller) resume(ctx context.Context, task *task) bool {
	ctx, cancel := context.WithTimeout(ctx, c.options.Settings.CallTimeout)
	defer cancel()
	if err := c.options.Drainer.Resume(ctx, task.target); err != nil {
		c.options.Logger.Warn("drain for a reload not ended", zap.String("target", task.target), zap.Error(err))
		return false
	}
	task.drained = false
	task.confirmed = time.Time{}
	return true
}
