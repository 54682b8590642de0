package orders

import (
	"context"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/lease"
)

// drain sees to it that a reload cuts nothing off. It reports whether the engine
// holds nothing, or gets no new work and has none in hand.
func (c *Controller) drain(ctx context.Context, l lease.Lease, target *config.Target, task *task) (verdict, bool) {
	if task.state.Model == "" || c.options.hooks.skipDrain {
		return verdict{}, true
	}
	if l.Check() != nil && !c.options.hooks.skipCheck {
		return c.again(PhaseNoLease), false
	}
	confirmed, err := c.askDrain(ctx, target, task)
	if err != nil {
		return c.slower(task, PhaseDraining, err.Error()), false
	}
	now := time.Now()
	if !confirmed {
		task.confirmed = time.Time{}
		return c.again(PhaseDraining), false
	}
	if task.confirmed.IsZero() {
		task.confirmed = now
	}
	// A request that left a VM just before the drain was confirmed may not have
	// reached the engine; its state counts only once such a request would show.
	if now.Sub(task.confirmed) < c.options.Settings.SettleTime {
		return c.again(PhaseDraining), false
	}
	if task.state.Active > 0 {
		return c.again(PhaseBusy), false
	}
	return verdict{}, true
}

// askDrain asks anew for a confirmation at each step: a VM that joined since must
// have confirmed as well.
func (c *Controller) askDrain(ctx context.Context, target *config.Target, task *task) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Settings.CallTimeout)
	defer cancel()
	if !task.drained {
		// Set first: a drain whose answer was lost must be ended too.
		task.drained = true
		if err := c.options.Drainer.Drain(ctx, target.Name); err != nil {
			task.drained = false
			return false, err
		}
	}
	return c.options.Drainer.Drained(ctx, target.Name)
}

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
