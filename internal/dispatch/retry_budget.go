package dispatch

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"geraniumcroft/internal/config"
)

// RetryBudget bounds retries and hedges to a share of fresh requests, apart for
// each urgency so that bulk retries cannot use up what urgent ones need.
//
// Without it a failing pool gets each request several times over: the symptom is
// an overload that stays after its cause has gone. A small constant rate besides
// the share lets a VM with little traffic retry at all.
type RetryBudget struct {
	share float64
	burst float64
	base  [config.UrgencyCount]*rate.Limiter

	mu     sync.Mutex // guards the field below
	tokens [config.UrgencyCount]float64
}

// NewRetryBudget returns a budget of share retries a fresh request, saved up to
// burst, and perSecond retries a second for each urgency besides.
func NewRetryBudget(share, burst, perSecond float64) *RetryBudget {
	b := &RetryBudget{share: share, burst: burst}
	for level := range b.base {
		b.base[level] = rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
	}
	return b
}

// Credit credits the budget for one request that arrived.
func (b *RetryBudget) Credit(u config.Urgency) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[u] = min(b.burst, b.tokens[u]+b.share)
}

// Take reports whether one more attempt may be made, and pays for it.
func (b *RetryBudget) Take(u config.Urgency) bool {
	if b.takeShare(u) {
		return true
	}
	return b.base[u].AllowN(time.Now(), 1)
}

func (b *RetryBudget) takeShare(u config.Urgency) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[u] < 1 {
		return false
	}
	b.tokens[u]--
	return true
}
