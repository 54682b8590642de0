package relay

import (
	"sync"
	"time"

	"geraniumcroft/internal/dispatch"
)

const (
	// budgetMargin is how much of the allowance this VM uses. The rest covers VMs that
	// this one does not know of, and requests that are counted at another moment.
	budgetMargin = 0.85
	// unknownVMs is how many VMs are taken to share the slack before they were counted, a
	// few more than the largest fleet of today has. A whole fleet may start while the
	// store is away, and each VM must not take the part that it would have in a small one.
	unknownVMs = 100
)

// RetryBudgetSettings are the fleet's allowance of sends beyond the first, for one service.
type RetryBudgetSettings struct {
	// Share is the part of fresh requests that may be sent again.
	Share float64
	// Slack is what may be sent again beside it in each Window, by all VMs together.
	Slack  float64
	Window time.Duration
}

// RetryBudgets holds this VM's retry budget of each service. It is safe for concurrent use.
type RetryBudgets struct {
	settings RetryBudgetSettings

	mu      sync.Mutex // guards the fields below
	vms     int
	budgets map[string]*dispatch.WindowBudget
}

// NewRetryBudgets returns the budgets of a VM that does not know yet how many share the slack.
func NewRetryBudgets(s RetryBudgetSettings) *RetryBudgets {
	return &RetryBudgets{settings: s, vms: unknownVMs, budgets: map[string]*dispatch.WindowBudget{}}
}

// SetVMs tells how many VMs share the slack.
func (b *RetryBudgets) SetVMs(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(1, vms)
	for _, budget := range b.budgets {
		budget.SetSlack(b.slack())
	}
}

// slack is this VM's part of the slack. b.mu is held.
func (b *RetryBudgets) slack() float64 { return budgetMargin * b.settings.Slack / float64(b.vms) }

func (b *RetryBudgets) of(service string) *dispatch.WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[service]
	if budget == nil {
		budget = dispatch.NewWindowBudget(budgetMargin*b.settings.Share, b.slack(), b.settings.Window)
		b.budgets[service] = budget
	}
	return budget
}
