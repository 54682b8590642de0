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
	// budgetFraction is the fraction of the allowance of retries per request that this VM uses. The rest covers
	// requests that are counted at different times.
	budgetFraction = 0.85
	// establishedFraction is the fraction of the slack for the VMs that count each other. The rest is for
	// processes that have just started.
	establishedFraction = 0.6
	// wholeFraction is the fraction of the slack up to which each VM may have a whole retry of it.
	wholeFraction = 0.97
	// maxStarts is how often a VM may start in a window without all VMs together going beyond the slack.
	maxStarts = 3
	// minFleet is the number of VMs that a starting process assumes at least: its list may have been read
	// while the rows of most VMs had expired.
	minFleet = 4
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
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
}

// RetryBudgets holds this VM's retry budget of each service. It is safe for concurrent use.
type RetryBudgets struct {
	settings RetryBudgetSettings

	mu      sync.Mutex // guards the fields below
	fleet   fleetHistory
	budgets map[string]*dispatch.WindowBudget
}

// NewRetryBudgets returns the budgets of a VM that knows no other VM yet.
func NewRetryBudgets(s RetryBudgetSettings) *RetryBudgets {
	return &RetryBudgets{settings: s, fleet: fleetHistory{window: s.Window, unused: s.FirstStart}, budgets: map[string]*dispatch.WindowBudget{}}
}

// SetFleet sets the VMs that share the slack. It must be called at least every few seconds.
func (b *RetryBudgets) SetFleet(f FleetCount) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.record(f, time.Now())
}

// slack returns this VM's part of the slack at a time. b.mu must be held.
func (b *RetryBudgets) slack(now time.Time) float64 {
	vms, established := b.fleet.share(now)
	if vms == 0 || b.settings.Slack <= 0 {
		return 0
	}
	part, all := b.part(vms)
	if !established {
		part = (b.settings.Slack - all) / float64(maxStarts*max(vms, minFleet))
	}
	if part >= 1 {
		return part
	}
	return b.draw(part, now)
}

// part returns the part of the slack of each VM that the others count, and the parts of all.
//
// Retries are whole. Where an even part is less than one, each VM has one as long as that is within
// the slack.
func (b *RetryBudgets) part(vms int) (part, all float64) {
	all = establishedFraction * b.settings.Slack
	if all < float64(vms) && float64(vms) <= wholeFraction*b.settings.Slack {
		return 1, float64(vms)
	}
	return all / float64(vms), all
}

// draw returns one whole retry for half of the given part of the VMs, and none for the others. They are drawn anew
// in each window; one that slides over two of these contains the retries of two draws.
func (b *RetryBudgets) draw(part float64, now time.Time) float64 {
	draw := fmt.Sprint(b.settings.VM, "\x00", now.UnixNano()/int64(b.settings.Window))
	if float64(xxhash.Sum64String(draw))/math.MaxUint64 < part/2 {
		return 1
	}
	return 0
}

// Budget returns the retry budget of a service.
func (b *RetryBudgets) Budget(service string) *dispatch.WindowBudget {
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
		usage[service] = b.Budget(service).Usage()
	}
	return usage
}
