package balance

import (
	"math"
	"time"

	"geraniumcroft/internal/config"
)

// refresh recomputes the atomics. It reports whether a limit rose. t.mu is held.
func (t *target) refresh(now time.Time) (opened bool) {
	t.updateBlockedAt(now)
	slots := t.slots(now)
	others := t.load.others(now, t.balancer.settings)
	t.others.Store(math.Float64bits(others))
	t.inverseSlots.Store(math.Float64bits(1 / float64(slots)))
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

// updateBlockedAt sets blockedAt when the target becomes blocked and clears it when it no
// longer is.
func (t *target) updateBlockedAt(now time.Time) {
	if t.blocked() == "" {
		t.blockedAt.Store(0)
		return
	}
	t.blockedAt.CompareAndSwap(0, now.UnixNano())
}

// slots returns the target's number of slots: the configured one, or the reported one if
// that is smaller and still trusted.
func (t *target) slots(now time.Time) int {
	slots := max(t.config.Load().Slots, 1)
	if t.load.report.Slots > 0 && t.load.trust(now, t.balancer.settings) > 0 {
		slots = min(slots, t.load.report.Slots)
	}
	return slots
}

// limit returns how many requests this VM may have in flight at the target for an urgency:
// its share of the slots in any case, and beyond it what others leave free.
func (t *target) limit(u config.Urgency, slots int, others float64, now time.Time) int {
	openSlots := t.openSlots(u, slots)
	borrowed := openSlots - int(math.Round(others))
	limit := max(borrowed, t.allotted.share(openSlots))
	if t.busy.active(now) {
		limit = min(limit, t.busy.cap)
	}
	if t.health.halfOpen(now) {
		limit = min(limit, t.probeCap())
	}
	return limit
}

// openSlots returns how many of the slots are open to an urgency.
func (t *target) openSlots(u config.Urgency, slots int) int {
	if t.balancer.settings.faults.noHeadroom {
		return slots
	}
	return max(slots-t.allotted.headroom[u], 0)
}

// probeCap returns the limit of requests in flight while the target is half-open.
func (t *target) probeCap() int {
	if t.health.probeCap == 0 {
		t.health.probeCap = int(t.inFlight.Load()) + 1
	}
	return t.health.probeCap
}

// schedule sets the timer for the next time at which refresh has a different result.
func (t *target) schedule(now time.Time) {
	next := t.load.nextTrustChange(now, t.balancer.settings)
	next = earlierFuture(next, t.health.until, now)
	next = earlierFuture(next, t.busy.until, now)
	if next.IsZero() {
		if t.timer != nil {
			t.timer.Stop()
		}
		return
	}
	if t.timer == nil {
		t.timer = time.AfterFunc(next.Sub(now), t.onTimer)
		return
	}
	t.timer.Reset(next.Sub(now))
}

// earlierFuture returns the earlier of two times, without b if it is not after now and
// without a if it is zero.
func earlierFuture(a, b, now time.Time) time.Time {
	if !b.After(now) {
		return a
	}
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
