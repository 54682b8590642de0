package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

// target is this VM's view of one target. The atomics are what Pick reads; they
// are computed from the guarded fields by refresh after each event.
type target struct {
	balancer *Balancer
	name     string

	inFlight atomic.Int32
	sent     history
	// limits bound inFlight for each urgency; 0 closes the target.
	limits [config.UrgencyCount]atomic.Int32
	// others holds the bits of the estimated load from elsewhere, and perSlot
	// those of 1/slots.
	others  atomic.Uint64
	perSlot atomic.Uint64
	config  atomic.Pointer[config.Target]
	// blockedAt is when the target was found to drain, leave or be removed, in
	// nanoseconds; 0 while it is none of these.
	blockedAt atomic.Int64
	// troubled is set while there are failures to forget or an ejection to end.
	troubled atomic.Bool
	probing  atomic.Bool

	mu        sync.Mutex // guards the fields below
	group     *group
	headroom  [config.UrgencyCount]int
	removed   bool
	leaving   bool
	outside   bool
	load      loadView
	health    health
	busyUntil time.Time
	busyCap   int
	timer     *time.Timer
}

func (t *target) hasRoom(u config.Urgency) bool {
	return t.inFlight.Load() < t.limits[u].Load()
}

// take reserves a slot unless the limit is reached.
func (t *target) take(u config.Urgency) bool {
	for {
		held := t.inFlight.Load()
		if held >= t.limits[u].Load() {
			return false
		}
		if t.inFlight.CompareAndSwap(held, held+1) {
			return true
		}
	}
}

// score is the estimated load per slot if one more request is sent.
func (t *target) score() float64 {
	load := math.Float64frombits(t.others.Load()) + float64(t.inFlight.Load()+1)
	return load * math.Float64frombits(t.perSlot.Load())
}

// blocked says why the target takes no new work by order, empty if it does.
func (t *target) blocked() string {
	switch {
	case t.removed:
		return "removed"
	case t.config.Load().State == config.StateDraining:
		return "draining"
	case t.leaving:
		return "leaving, says the VM list"
	case t.load.report.Leaving:
		return "leaving, says its report"
	}
	return ""
}

// closed says why the target takes no new work, empty if it does.
func (t *target) closed(now time.Time) string {
	if reason := t.blocked(); reason != "" {
		return reason
	}
	if t.outside {
		return "outside this VM's subset"
	}
	if t.health.ejected(now) {
		return "ejected"
	}
	return ""
}

// refresh recomputes the atomics. It reports whether a limit rose.
func (t *target) refresh(now time.Time) (opened bool) {
	t.noteBlocked(now)
	slots := t.slots(now)
	others := t.load.others(now, t.balancer.settings)
	t.others.Store(math.Float64bits(others))
	t.perSlot.Store(math.Float64bits(1 / float64(slots)))
	closed := t.closed(now) != ""
	for u := range t.limits {
		limit := 0
		if !closed {
			limit = t.limit(config.Urgency(u), slots, others, now)
		}
		opened = t.limits[u].Swap(int32(limit)) < int32(limit) || opened
	}
	t.probing.Store(t.health.halfOpen(now))
	t.schedule(now)
	return opened
}

func (t *target) noteBlocked(now time.Time) {
	if t.blocked() == "" {
		t.blockedAt.Store(0)
		return
	}
	t.blockedAt.CompareAndSwap(0, now.UnixNano())
}

// slots is the target's size: the configured one, or the reported one while that
// is smaller.
func (t *target) slots(now time.Time) int {
	slots := max(t.config.Load().Slots, 1)
	if t.load.report.Slots > 0 && t.load.trust(now, t.balancer.settings) > 0 {
		slots = min(slots, t.load.report.Slots)
	}
	return slots
}

// limit is how many requests this VM may have in flight there for that urgency:
// its share of the slots in any case, and what others leave free beyond it.
func (t *target) limit(u config.Urgency, slots int, others float64, now time.Time) int {
	open := max(slots-t.headroom[u], 0)
	limit := max(open-int(math.Round(others)), open/t.balancer.peers())
	if now.Before(t.busyUntil) {
		limit = min(limit, t.busyCap)
	}
	if t.health.halfOpen(now) {
		limit = min(max(limit, 1), 1)
	}
	return limit
}

// schedule arms the timer for the next moment at which refresh has another result.
func (t *target) schedule(now time.Time) {
	next := t.load.nextChange(now, t.balancer.settings)
	next = sooner(next, t.health.until, now)
	next = sooner(next, t.busyUntil, now)
	if next.IsZero() {
		if t.timer != nil {
			t.timer.Stop()
		}
		return
	}
	if t.timer == nil {
		t.timer = time.AfterFunc(next.Sub(now), t.elapsed)
		return
	}
	t.timer.Reset(next.Sub(now))
}

// sooner returns the earlier of the two moments that lie ahead.
func sooner(a, b, now time.Time) time.Time {
	if !b.After(now) {
		return a
	}
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func (t *target) elapsed() { t.change(func(time.Time) {}) }

// change applies f under the lock, refreshes, and tells of freed capacity.
func (t *target) change(f func(now time.Time)) {
	if t.changeQuietly(f) {
		t.balancer.freed(t)
	}
}

func (t *target) changeQuietly(f func(now time.Time)) (opened bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	f(now)
	return t.refresh(now)
}

func (t *target) report(r engine.LoadReport) {
	t.change(func(now time.Time) {
		t.load.take(r, now, int(t.inFlight.Load()), &t.sent)
		t.health.reported()
	})
}
