package orders

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/lease"
)

// permit shows that the lease was checked. Only check grants one.
type permit struct {
	granted bool
	fencing uint64
}

func (c *Controller) check(l lease.Lease) (permit, error) {
	if c.options.hooks.skipLeaseCheck {
		return permit{}, nil
	}
	if err := l.Check(); err != nil {
		return permit{}, err
	}
	return permit{granted: true, fencing: l.Fencing}, nil
}

// order checks the lease and sends the order, with nothing between the two that can block. It
// reports whether the engine accepted the order.
func (c *Controller) order(ctx context.Context, l lease.Lease, target *config.Target, task *task, order engine.Order) (stepResult, bool) {
	ctx, cancel := context.WithTimeout(engine.WithOrderCheck(ctx, l.Check), c.options.Settings.OrderTimeout)
	defer cancel()
	p, err := c.check(l)
	if err != nil {
		return c.retry(PhaseNoLease), false
	}
	err = c.send(ctx, p, target, order)
	task.ordersSent++
	c.options.Logger.Info("order sent", zap.String("target", target.Name), zap.String("order", order.ID),
		zap.Uint64("fencing", order.Fencing), zap.Error(err))
	return c.recordResult(task, order, err)
}

func (c *Controller) send(ctx context.Context, p permit, target *config.Target, order engine.Order) error {
	c.options.Invariants.Check(p.granted && p.fencing == order.Fencing, invariant.NoOrderWithoutLease,
		"order %s to %s with fencing number %d, permit for %d (granted %t)",
		order.ID, target.Name, order.Fencing, p.fencing, p.granted)
	return c.options.Engines.Order(ctx, target.Address, order)
}

// recordResult records the result of an order and reports whether the engine accepted it.
func (c *Controller) recordResult(task *task, order engine.Order, err error) (stepResult, bool) {
	sent := &pending{order: order, returnedAt: time.Now()}
	if err == nil {
		task.pending = sent
		return c.retry(PhaseOrderInFlight), true
	}
	var failure *engine.OrderError
	known := errors.As(err, &failure)
	switch {
	case known && failure.OldFencing:
		task.pending = nil
		return c.backOff(task, PhaseSuperseded, err.Error()), false
	case known && !failure.Ambiguous:
		return c.backOff(task, PhaseRefused, err.Error()), false
	}
	sent.ambiguous = true
	task.pending = sent
	return stepResult{phase: PhaseOrderInFlight, detail: err.Error(), delay: c.options.Settings.RetryInterval}, false
}
