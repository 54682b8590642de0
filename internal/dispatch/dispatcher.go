package dispatch

import (
	"context"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/service"
)

// Dispatcher sends calls to targets, with retries and hedges. It is safe for concurrent use.
type Dispatcher struct {
	client     service.Client
	settings   Settings
	budget     *RetryBudget
	invariants *invariant.Registry
	observer   Observer
}

// New returns a dispatcher that sends calls through client. observer may be nil.
func New(client service.Client, s Settings, invariants *invariant.Registry, observer Observer) *Dispatcher {
	budget := NewRetryBudget(s.BudgetShare, s.BudgetBurst, s.BudgetPerSecond)
	return &Dispatcher{client: client, settings: s, budget: budget, invariants: invariants, observer: observer}
}

// Call makes the attempts of a job and returns the complete response or an
// *outcome.Failure. After it has returned, no further attempt is sent, but an attempt
// that was slower than a hedge may not have ended yet.
func (d *Dispatcher) Call(ctx context.Context, job Job) (service.Response, error) {
	d.budget.Credit(job.Urgency)
	run := newRun(d, ctx, &job)
	defer run.finish()
	return run.wait()
}
