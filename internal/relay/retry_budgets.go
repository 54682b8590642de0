package relay

import (
	"sync"
	"time"

	"geraniumcroft/internal/dispatch"
)

const (
	// budgetFraction is the fraction of the allowance that this VM uses. The rest covers VMs that
	// this one does not know of, and requests that are counted at different times.
	budgetFraction = 0.85
	// defaultVMs is the number of VMs assumed to share the slack before they were counted, a few
	// more than the largest current fleet has. A whole fleet may start during a store outage, and
	// each VM must not take the share that it would have in a small fleet.
	defaultVMs = 100
)

// RetryBudgetSettings are the fleet's allowance of sends beyond the first, for one service.
type RetryBudgetSettings struct {
	// Share is the fraction of fresh requests that may be sent again.
	Share float64
	// Slack is the number of sends allowed beyond that share in each Window, by all VMs together.
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

// NewRetryBudgets returns the budgets of a VM that does not know yet how many VMs share the slack.
func NewRetryBudgets(s RetryBudgetSettings) *RetryBudgets {
	return &RetryBudgets{settings: s, vms: defaultVMs, budgets: map[string]*dispatch.WindowBudget{}}
}

// SetVMs sets the number of VMs that share the slack.
func (b *RetryBudgets) SetVMs(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(1, vms)
	for _, budget := range b.budgets {
		budget.SetSlack(b.slack())
	}
}

// slack returns this VM's share of the slack. b.mu must be held.
func (b *RetryBudgets) slack() float64 { return budgetFraction * b.settings.Slack / float64(b.vms) }

// of returns the retry budget of a service.
func (b *RetryBudgets) of(service string) *dispatch.WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[service]
	if budget == nil {
		budget = dispatch.NewWindowBudget(budgetFraction*b.settings.Share, b.slack(), b.settings.Window)
		b.budgets[service] = budget
	}
	return budget
}
