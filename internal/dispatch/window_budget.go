package dispatch

import (
	"math"
	"sync"
	"time"
)

// windowSlots is into how many parts a WindowBudget cuts its window to count in.
const windowSlots = 40

// WindowBudget bounds retries to a share of the fresh requests of a window and a slack
// besides, in any window of that length. All of it may be spent at once: when a replica
// dies, all streams through it want to go on at the same moment, and a rate that is even
// lets most of them break off while the budget of the seconds before was left unused.
//
// If each VM keeps to its own window, with its own requests and an equal part of the
// slack, then all VMs together keep to the fleet's. It is safe for concurrent use.
type WindowBudget struct {
	share float64
	slot  time.Duration
	// start is a reading of the steady clock: the time of day may jump, and a jump ahead
	// would forget what was spent.
	start time.Time

	mu    sync.Mutex // guards the fields below
	slack float64
	// fresh and spent count by slot of time; the newest slot is number now.
	fresh, spent [windowSlots + 1]int
	now          int64
}

// NewWindowBudget returns a budget of share retries a fresh request and of slack, in any
// window.
func NewWindowBudget(share, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{share: share, slack: slack, slot: max(1, window/windowSlots), start: time.Now()}
}

// SetSlack changes the slack from now on.
func (b *WindowBudget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

// Credit credits the budget for one request that arrived.
func (b *WindowBudget) Credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fresh[b.turn()]++
}

// Take reports whether one more retry may be made, and pays for it.
func (b *WindowBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.turn()
	// The oldest slot is in the window in part: its retries count and its requests don't.
	oldest := (at + 1) % len(b.fresh)
	fresh, spent := 0, 0
	for i := range b.fresh {
		spent += b.spent[i]
		if i != oldest {
			fresh += b.fresh[i]
		}
	}
	if float64(spent+1) > math.Floor(b.share*float64(fresh)+b.slack+roundingError) {
		return false
	}
	b.spent[at]++
	return true
}

// roundingError keeps a budget that comes to a whole number from losing one for the
// way in which fractions are added.
const roundingError = 1e-9

// turn empties the slots that the time has passed over and returns the present one.
func (b *WindowBudget) turn() int {
	now := int64(time.Since(b.start) / b.slot)
	for n := max(b.now+1, now-windowSlots); n <= now; n++ {
		i := n % int64(len(b.fresh))
		b.fresh[i], b.spent[i] = 0, 0
	}
	b.now = max(b.now, now)
	return int(b.now % int64(len(b.fresh)))
}
