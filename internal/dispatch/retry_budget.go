package dispatch

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"geraniumcroft/internal/config"
)

// RetryBudget limits retries and hedges to a share of the requests. Each urgency has its
// own budget, so that bulk retries cannot use up the budget of urgent ones. It is safe
// for concurrent use.
//
// Without a budget, a failing pool would receive each request several times, and an
// overload would persist after its cause is gone. A small constant rate in addition to
// the share allows retries on a VM with little traffic.
type RetryBudget struct {
	share float64
	burst float64
	base  [config.UrgencyCount]*rate.Limiter

	mu     sync.Mutex // guards the field below
	tokens [config.UrgencyCount]float64
}

// NewRetryBudget returns a budget of share retries per request, which accumulate up to
// burst, and in addition perSecond retries per second for each urgency.
func NewRetryBudget(share, burst, perSecond float64) *RetryBudget {
	b := &RetryBudget{share: share, burst: burst}
	for level := range b.base {
		b.base[level] = rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
	}
	return b
}

// Credit adds the share of one new request to the budget of its urgency.
func (b *RetryBudget) Credit(u config.Urgency) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[u] = min(b.burst, b.tokens[u]+b.share)
}

// Take reports whether one more attempt may be made. If so, it reduces the budget.
func (b *RetryBudget) Take(u config.Urgency) bool {
	if b.takeShare(u) {
		return true
	}
	return b.base[u].AllowN(time.Now(), 1)
}

// takeShare is Take for the budget that Credit has accumulated.
func (b *RetryBudget) takeShare(u config.Urgency) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[u] < 1 {
		return false
	}
	b.tokens[u]--
	return true
}
