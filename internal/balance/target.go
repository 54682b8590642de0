package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
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
	// out is set while the target is ejected or half-open; it changes under the
	// group's lock when set.
	out atomic.Bool
	// usual holds the bits of the average time of service in seconds.
	usual    atomic.Uint64
	group    atomic.Pointer[group]
	prefixes atomic.Pointer[prefixIndex]
	// cacheGeneration rises each time the view of cached prefixes is read anew;
	// cacheTrust holds the bits of the trust in it and cacheHeard the time of the
	// last event in nanoseconds.
	cacheGeneration atomic.Uint32
	cacheTrust      atomic.Uint64
	cacheHeard      atomic.Int64

	mu      sync.Mutex // guards the fields below
	part    allotment
	removed bool
	leaving bool
	load    loadView
	health  health
	cache   cacheView
	busy    busyHold
	timer   *time.Timer
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

// closed says why the target takes no new work, empty if it does.
func (t *target) closed(now time.Time) string {
	if reason := t.blocked(); reason != "" {
		return reason
	}
	if t.part.outside {
		return ReasonOutsideSubset
	}
	if t.health.ejected(now) {
		return ReasonEjected
	}
	return ""
}
