package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
)

// target is this VM's view of one target. The atomics are read by Pick; refresh computes them
// from the guarded fields after each event.
type target struct {
	balancer *Balancer
	name     string

	inFlight atomic.Int32
	// sent records the changes of inFlight.
	sent history
	// limits bound inFlight for each urgency; 0 closes the target.
	limits [config.UrgencyCount]atomic.Int32
	// others holds the bits of the estimated load that does not come from this VM,
	// inverseSlots those of 1/slots.
	others       atomic.Uint64
	inverseSlots atomic.Uint64
	config       atomic.Pointer[config.Target]
	// blockedAt is when the target was found to drain, leave or be removed, in Unix
	// nanoseconds; 0 if it is none of these.
	blockedAt atomic.Int64
	// hasFailures is set while there are failures to clear or an ejection to end.
	hasFailures atomic.Bool
	// probing is set while the target is half-open.
	probing atomic.Bool
	// unhealthy is set while the target is ejected or half-open. It is set under the group's
	// lock.
	unhealthy atomic.Bool
	// serviceTime holds the bits of the average service time in seconds.
	serviceTime atomic.Uint64
	group       atomic.Pointer[group]
	prefixes    atomic.Pointer[prefixIndex]
	// cacheGeneration is incremented each time the view of cached prefixes is read again.
	// cacheTrust holds the bits of the trust in it, cacheUpdatedAt the time of the last event
	// in Unix nanoseconds.
	cacheGeneration atomic.Uint32
	cacheTrust      atomic.Uint64
	cacheUpdatedAt  atomic.Int64

	mu       sync.Mutex // guards the fields below
	allotted allotment
	removed  bool
	leaving  bool
	load     loadView
	health   health
	cache    cacheView
	busy     busyHold
	timer    *time.Timer
}

// hasFreeSlot reports whether the target has a free slot for the urgency.
func (t *target) hasFreeSlot(u config.Urgency) bool {
	return t.inFlight.Load() < t.limits[u].Load()
}

// take increments inFlight unless the limit is reached.
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

// score returns the estimated load per slot with one more request.
func (t *target) score() float64 {
	load := math.Float64frombits(t.others.Load()) + float64(t.inFlight.Load()+1)
	return load * math.Float64frombits(t.inverseSlots.Load())
}

// blocked returns why the target takes no new requests from any VM, empty if it does.
// t.mu is held.
func (t *target) blocked() string {
	switch {
	case t.removed:
		return ReasonRemoved
	case !t.config.Load().TakesWork():
		return string(t.config.Load().State)
	case t.leaving:
		return ReasonListedLeaving
	case t.load.report.Leaving:
		return ReasonReportsLeaving
	}
	return ""
}

// closed returns why the target takes no new requests from this VM, empty if it does.
// t.mu is held.
func (t *target) closed(now time.Time) string {
	if reason := t.blocked(); reason != "" {
		return reason
	}
	if t.allotted.outsideSubset {
		return ReasonOutsideSubset
	}
	if t.health.ejected(now) {
		return ReasonEjected
	}
	return ""
}
