package orders

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/lease"
)

// Controller sends orders to engines while this VM holds the lease of Duty.
type Controller struct {
	options Options
	slots   chan struct{}
	steps   sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	tenure *tenure
	held   bool
}

// NewController returns a controller. It sends no orders until Run is called.
func NewController(o Options) *Controller {
	o.setDefaults()
	return &Controller{options: o, slots: make(chan struct{}, o.Settings.Concurrency)}
}

// Run sends orders until ctx ends. It returns once none of its orders is being sent, so that the
// lease may then be released.
func (c *Controller) Run(ctx context.Context) {
	defer c.steps.Wait()
	for {
		c.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(loopInterval):
		}
	}
}

// round starts the steps that are due, if this VM holds the lease.
func (c *Controller) round(ctx context.Context) {
	l, held := c.options.Leases.Held(Duty)
	tenure := c.updateTenure(l, held)
	if !held || ctx.Err() != nil || !c.adoptDrains(ctx, tenure) {
		return
	}
	snapshot := c.options.ConfigSource.Current()
	c.dropRemoved(ctx, tenure, snapshot)
	for _, target := range snapshot.Targets {
		if isManaged(target) {
			c.startStep(ctx, tenure, l, target)
		}
	}
}

// updateTenure returns the tenure of the lease, a new one if the fencing number is new. A lease
// that expired and was renewed before another VM acquired it keeps its tenure, with the orders
// that are still unresolved.
func (c *Controller) updateTenure(l lease.Lease, held bool) *tenure {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = held
	if !held {
		return nil
	}
	if c.tenure == nil || c.tenure.lease.Fencing != l.Fencing {
		c.tenure = newTenure(l, c.options.Settings)
		c.options.Logger.Info("started sending orders", zap.Uint64("fencing", l.Fencing))
	}
	return c.tenure
}

// adoptDrains takes over the drains that earlier holders left: a target that was drained for a
// reload must get work again even if the holder died during the reload. The list of drains is
// read again every ReadBackInterval, because a request for a drain can take effect late. The
// result says whether the list was read in this tenure.
func (c *Controller) adoptDrains(ctx context.Context, t *tenure) bool {
	if !t.adoptedAt.IsZero() && time.Since(t.adoptedAt) < c.options.Settings.ReadBackInterval {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Settings.CallTimeout)
	defer cancel()
	names, err := c.options.Drainer.Draining(ctx)
	if err != nil {
		c.options.Logger.Warn("drains of earlier holders cannot be read", zap.Error(err))
		return !t.adoptedAt.IsZero()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		t.adoptDrain(name)
	}
	t.adoptedAt = time.Now()
	return true
}

func newTask(target string, drained bool) *task {
	return &task{target: target, drained: drained, lastDump: TaskDump{Target: target, Phase: PhaseUnread}}
}

// dropRemoved ends the tasks of targets that are no longer in the configuration.
func (c *Controller) dropRemoved(ctx context.Context, t *tenure, snapshot *config.Snapshot) {
	for _, removed := range c.removed(t, snapshot) {
		if removed.drained && !c.resume(ctx, removed) {
			continue
		}
		c.mu.Lock()
		delete(t.tasks, removed.target)
		c.mu.Unlock()
	}
}

// removed returns the tasks without a running step whose targets are no longer managed.
func (c *Controller) removed(t *tenure, snapshot *config.Snapshot) []*task {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []*task
	for name, task := range t.tasks {
		target, ok := snapshot.Targets[name]
		if (!ok || !isManaged(target)) && !task.busy {
			removed = append(removed, task)
		}
	}
	return removed
}

// startStep runs a step on the target if one is due and a slot is free. An engine that is slow to
// answer keeps its slot for no longer than the timeouts of the calls.
func (c *Controller) startStep(ctx context.Context, t *tenure, l lease.Lease, target *config.Target) {
	task := c.claim(t, target)
	if task == nil {
		return
	}
	c.steps.Go(func() {
		defer func() { <-c.slots }()
		v := c.step(ctx, t, l, target, task)
		c.finish(task, target, v)
	})
}

// claim takes a slot and marks the target's task as busy. It returns nil if no step is due or no
// slot is free.
func (c *Controller) claim(t *tenure, target *config.Target) *task {
	c.mu.Lock()
	defer c.mu.Unlock()
	claimed, ok := t.tasks[target.Name]
	if !ok {
		claimed = newTask(target.Name, false)
		t.tasks[target.Name] = claimed
	}
	changed := claimed.revision != target.Revision
	if claimed.busy || !changed && time.Now().Before(claimed.next) {
		return nil
	}
	select {
	case c.slots <- struct{}{}:
	default:
		return nil
	}
	claimed.busy = true
	claimed.revision = target.Revision
	return claimed
}

// finish records the result of a step and when the next one is due.
func (c *Controller) finish(task *task, target *config.Target, v stepResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	task.busy = false
	task.next = time.Now().Add(v.delay)
	task.lastDump = newTaskDump(task, target, v)
}
