package balance

import (
	"math"
	"time"

	"geraniumcroft/internal/config"
)

// refresh recomputes the atomics. It reports whether a limit rose.
func (t *target) refresh(now time.Time) (opened bool) {
	t.noteBlocked(now)
	slots := t.slots(now)
	others := t.load.others(now, t.balancer.settings)
	t.others.Store(math.Float64bits(others))
	t.perSlot.Store(math.Float64bits(1 / float64(slots)))
	closed := t.closed(now) != "" && !t.balancer.settings.faults.noDrain
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
	open := t.open(u, slots)
	borrowed := open - int(math.Round(others))
	limit := max(borrowed, t.part.share(open))
	if t.busy.holds(now) {
		limit = min(limit, t.busy.cap)
	}
	if t.health.halfOpen(now) {
		limit = min(limit, t.probeCap())
	}
	return limit
}

// open is how many of the slots are open to that urgency.
func (t *target) open(u config.Urgency, slots int) int {
	if t.balancer.settings.faults.noHeadroom {
		return slots
	}
	return max(slots-t.part.headroom[u], 0)
}

// probeCap is what a half-open target may have in flight.
func (t *target) probeCap() int {
	if t.health.probeCap == 0 {
		t.health.probeCap = int(t.inFlight.Load()) + 1
	}
	return t.health.probeCap
}

// schedule arms the timer for the next moment at which refresh has another result.
func (t *target) schedule(now time.Time) {
	next := t.load.nextChange(now, t.balancer.settings)
	next = sooner(next, t.health.until, now)
	next = sooner(next, t.busy.until, now)
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
