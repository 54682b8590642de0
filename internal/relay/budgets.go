package relay

import (
	"sync"
	"time"

	"geraniumcroft/internal/dispatch"
)

// budgetMargin is how much of the allowance this VM uses. The rest covers VMs that
// this one does not know of, and the edges of the window.
const budgetMargin = 0.8

// BudgetSettings are the fleet's allowance of sends beyond the first, for one service.
type BudgetSettings struct {
	// Share is the part of fresh requests that may be sent again.
	Share float64
	// Slack is what may be sent again beside it in each Window, by all VMs together.
	Slack  float64
	Window time.Duration
}

// Budgets holds this VM's retry budget of each service. It is safe for concurrent use.
type Budgets struct {
	settings BudgetSettings

	mu      sync.Mutex // guards the fields below
	vms     int
	budgets map[string]*dispatch.RetryBudget
}

// NewBudgets returns the budgets of a VM that shares the slack with vms-1 others.
func NewBudgets(s BudgetSettings, vms int) *Budgets {
	return &Budgets{settings: s, vms: max(1, vms), budgets: map[string]*dispatch.RetryBudget{}}
}

// SetVMs tells how many VMs share the slack.
func (b *Budgets) SetVMs(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if vms = max(1, vms); vms == b.vms {
		return
	}
	b.vms = vms
	b.budgets = map[string]*dispatch.RetryBudget{}
}

func (b *Budgets) of(service string) *dispatch.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[service]
	if budget == nil {
		slack := budgetMargin * b.settings.Slack / float64(b.vms)
		budget = dispatch.NewSharedRetryBudget(budgetMargin*b.settings.Share, slack, b.settings.Window)
		b.budgets[service] = budget
	}
	return budget
}
