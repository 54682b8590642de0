package dispatch

import (
	"math"
	"sync"
	"time"
)

// windowBuckets is the number of buckets into which a WindowBudget divides its window.
const windowBuckets = 40

// WindowBudget limits the retries in any window of a given length to a share of the
// requests in that window, plus a constant slack. The whole budget may be used at once:
// when a replica fails, all of its streams must continue elsewhere at the same time. A
// constant rate would fail most of them although the budget of the previous seconds was
// unused.
//
// If each VM keeps the limit for its own requests and an equal share of the slack, all
// VMs together keep the limit of the fleet. It is safe for concurrent use.
type WindowBudget struct {
	share  float64
	bucket time.Duration
	// start holds a monotonic clock reading. The wall clock may be adjusted, and a jump
	// forward would empty all buckets.
	start time.Time

	mu    sync.Mutex // guards the fields below
	slack float64
	// fresh and spent count requests and retries by time bucket. They are ring buffers;
	// the newest bucket has the number now.
	fresh, spent [windowBuckets + 1]int
	now          int64
}

// NewWindowBudget returns a budget of share retries per request plus slack retries, in any
// window of the given length.
func NewWindowBudget(share, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{share: share, slack: slack, bucket: max(1, window/windowBuckets), start: time.Now()}
}

// SetSlack sets the slack. It takes effect with the next call of Take.
func (b *WindowBudget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

// Credit counts one new request.
func (b *WindowBudget) Credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fresh[b.advance()]++
}

// Take reports whether one more retry may be made. If so, it counts the retry.
func (b *WindowBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance()
	if b.usage(at).Exhausted() {
		return false
	}
	b.spent[at]++
	return true
}

// Usage returns the requests, the retries and the limit of the current window.
func (b *WindowBudget) Usage() BudgetUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(b.advance())
}

// usage returns the state of the window whose newest bucket has the index at. b.mu must be held.
//
// The oldest bucket is only partly within the window. To stay within the limit, its retries count and
// its requests do not.
func (b *WindowBudget) usage(at int) BudgetUsage {
	oldest := (at + 1) % len(b.fresh)
	var u BudgetUsage
	for i := range b.fresh {
		u.Retries += b.spent[i]
		if i != oldest {
			u.Requests += b.fresh[i]
		}
	}
	u.Limit = int(math.Floor(b.share*float64(u.Requests) + b.slack + roundingError))
	return u
}

// roundingError prevents a budget that is a whole number from being rounded down because
// of floating-point errors.
const roundingError = 1e-9

// advance clears the buckets that have begun since the last call and returns the index of
// the current one. The caller must hold b.mu.
func (b *WindowBudget) advance() int {
	now := int64(time.Since(b.start) / b.bucket)
	for n := max(b.now+1, now-windowBuckets); n <= now; n++ {
		i := n % int64(len(b.fresh))
		b.fresh[i], b.spent[i] = 0, 0
	}
	b.now = max(b.now, now)
	return int(b.now % int64(len(b.fresh)))
}
