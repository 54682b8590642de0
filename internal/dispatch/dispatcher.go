package dispatch

import (
	"context"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/service"
)

// Dispatcher sends calls. It is safe for concurrent use.
type Dispatcher struct {
	client     service.Client
	settings   Settings
	budget     *RetryBudget
	invariants *invariant.Registry
	observer   Observer
}

// New returns a dispatcher over the client.
func New(client service.Client, s Settings, invariants *invariant.Registry, observer Observer) *Dispatcher {
	budget := NewRetryBudget(s.BudgetShare, s.BudgetBurst, s.BudgetPerSecond)
	return &Dispatcher{client: client, settings: s, budget: budget, invariants: invariants, observer: observer}
}

// Call makes the job's attempts and returns the whole answer or an
// *outcome.Failure. When it returns no attempt can be sent any more; an attempt
// that lost a hedge may still be ending.
func (d *Dispatcher) Call(ctx context.Context, job Job) (service.Response, error) {
	d.budget.Credit(job.Urgency)
	run := newRun(d, ctx, &job)
	defer run.end()
	return run.loop()
}
