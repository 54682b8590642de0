package orders

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/lease"
)

// Controller gives orders while this VM holds the lease of Duty.
type Controller struct {
	options Options
	slots   chan struct{}
	steps   sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	tenure *tenure
	held   bool
}

// NewController returns a controller; Run makes it work.
func NewController(o Options) *Controller {
	o.setDefaults()
	return &Controller{options: o, slots: make(chan struct{}, o.Settings.Concurrency)}
}

// Run works until ctx ends, and returns when no order of its own is being sent, so
// that the lease may then be handed back.
func (c *Controller) Run(ctx context.Context) {
	defer c.steps.Wait()
	for {
		c.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(tick):
		}
	}
}

// round starts the steps that are due.
func (c *Controller) round(ctx context.Context) {
	l, held := c.options.Leases.Held(Duty)
	tenure := c.enter(l, held)
	if !held || ctx.Err() != nil || !c.adopt(ctx, tenure) {
		return
	}
	snapshot := c.options.ConfigSource.Current()
	c.dropGone(ctx, tenure, snapshot)
	for _, target := range snapshot.Targets {
		if managed(target) {
			c.start(ctx, tenure, l, target)
		}
	}
}

// enter returns the tenure of the lease, a new one when the fencing number is new.
// A lease that lapsed and was renewed before anyone took it keeps its tenure, with
// the orders that are still unresolved.
func (c *Controller) enter(l lease.Lease, held bool) *tenure {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = held
	if !held {
		return nil
	}
	if c.tenure == nil || c.tenure.lease.Fencing != l.Fencing {
		c.tenure = newTenure(l, c.options.Settings)
		c.options.Logger.Info("giving orders", zap.Uint64("fencing", l.Fencing))
	}
	return c.tenure
}

// adopt takes over the drains that earlier holders left: a target that was drained
// for a reload must get work again even if its holder died half-way. It looks again
// at times, since a request for a drain can take effect late.
func (c *Controller) adopt(ctx context.Context, t *tenure) bool {
	if !t.adopted.IsZero() && time.Since(t.adopted) < c.options.Settings.ReadBackInterval {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Settings.CallTimeout)
	defer cancel()
	names, err := c.options.Drainer.Draining(ctx)
	if err != nil {
		c.options.Logger.Warn("drains of earlier holders cannot be read", zap.Error(err))
		return !t.adopted.IsZero()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		t.adoptDrain(name)
	}
	t.adopted = time.Now()
	return true
}

func newTask(target string, drained bool) *task {
	return &task{target: target, drained: drained, view: TaskDump{Target: target, Phase: PhaseUnread}}
}

// dropGone ends the work on targets that are no longer in the configuration.
func (c *Controller) dropGone(ctx context.Context, t *tenure, snapshot *config.Snapshot) {
	for _, gone := range c.gone(t, snapshot) {
		if gone.drained && !c.resume(ctx, gone) {
			continue
		}
		c.mu.Lock()
		delete(t.tasks, gone.target)
		c.mu.Unlock()
	}
}

func (c *Controller) gone(t *tenure, snapshot *config.Snapshot) []*task {
	c.mu.Lock()
	defer c.mu.Unlock()
	var gone []*task
	for name, task := range t.tasks {
		target, ok := snapshot.Targets[name]
		if (!ok || !managed(target)) && !task.busy {
			gone = append(gone, task)
		}
	}
	return gone
}

// start runs a step on the target if one is due and a slot is free. An engine that
// is slow to answer keeps its slot for no longer than the calls' timeouts.
func (c *Controller) start(ctx context.Context, t *tenure, l lease.Lease, target *config.Target) {
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

func (c *Controller) claim(t *tenure, target *config.Target) *task {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := t.tasks[target.Name]
	if !ok {
		entry = newTask(target.Name, false)
		t.tasks[target.Name] = entry
	}
	changed := entry.revision != target.Revision
	if entry.busy || !changed && time.Now().Before(entry.next) {
		return nil
	}
	select {
	case c.slots <- struct{}{}:
	default:
		return nil
	}
	entry.busy = true
	entry.revision = target.Revision
	return entry
}

func (c *Controller) finish(task *task, target *config.Target, v verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	task.busy = false
	task.next = time.Now().Add(v.after)
	task.view = newTaskDump(task, target, v)
}
