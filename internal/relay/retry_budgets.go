package relay

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumcroft/internal/dispatch"
)

const (
	// budgetFraction is the fraction of the allowance that this VM uses. The rest covers VMs that
	// this one does not know of, and requests that are counted at different times.
	budgetFraction = 0.85
	// wholeFraction is the fraction of the slack up to which each VM may have a whole retry of it.
	// The rest covers VMs that this one does not know of.
	wholeFraction = 0.97
	// defaultVMs is the number of VMs assumed to share the slack before they were counted, a few
	// more than the largest current fleet has. A whole fleet may start during a store outage, and
	// each VM must not take the share that it would have in a small fleet.
	defaultVMs = 100
)

// RetryBudgetSettings are the fleet's allowance of sends beyond the first, for one service.
type RetryBudgetSettings struct {
	// VM is the name of this VM.
	VM string
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
}

// slack returns this VM's part of the slack at a time. b.mu must be held.
//
// Retries are whole. Where an even part is less than one, each VM has one as long as that is within
// the slack. Beyond that the VMs that have one are drawn anew in each window. A window that slides
// over two of these contains the retries of two draws, so each takes half of the VMs.
func (b *RetryBudgets) slack(now time.Time) float64 {
	even := budgetFraction * b.settings.Slack / float64(b.vms)
	switch {
	case even >= 1 || b.settings.Slack <= 0:
		return even
	case float64(b.vms) <= wholeFraction*b.settings.Slack:
		return 1
	}
	draw := fmt.Sprint(b.settings.VM, "\x00", now.UnixNano()/int64(b.settings.Window))
	if float64(xxhash.Sum64String(draw))/math.MaxUint64 < even/2 {
		return 1
	}
	return 0
}

// of returns the retry budget of a service.
func (b *RetryBudgets) of(service string) *dispatch.WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack := b.slack(time.Now())
	budget := b.budgets[service]
	if budget == nil {
		budget = dispatch.NewWindowBudget(budgetFraction*b.settings.Share, slack, b.settings.Window)
		b.budgets[service] = budget
	}
	budget.SetSlack(slack)
	return budget
}

// Usage returns the state of each service's budget.
func (b *RetryBudgets) Usage() map[string]dispatch.BudgetUsage {
	b.mu.Lock()
	services := slices.Collect(maps.Keys(b.budgets))
	b.mu.Unlock()
	usage := make(map[string]dispatch.BudgetUsage, len(services))
	for _, service := range services {
		usage[service] = b.of(service).Usage()
	}
	return usage
}
