package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// estimate is the time that w would wait if it were queued now.
func (p *pool) estimate(w *waiter, now time.Time) time.Duration {
	r := w.request
	var wait time.Duration
	for u := r.Urgency + 1; u < config.UrgencyCount; u++ {
		wait += p.wait(p.levels[u], p.levels[u].cost, now)
	}
	l := p.levels[r.Urgency]
	return wait + p.wait(l, l.ahead(w), now)
}

// wait is the time in which the level starts that much cost.
func (p *pool) wait(l *level, cost float64, now time.Time) time.Duration {
	if cost <= 0 {
		return 0
	}
	if l.meter.known() {
		return l.meter.wait(now, cost)
	}
	return p.ends.wait(now, cost*float64(l.length)/l.cost)
}

// drain is the time that the whole queue needs.
func (p *pool) drain(now time.Time) time.Duration {
	var total time.Duration
	for _, l := range p.levels {
		total += p.wait(l, l.cost, now)
	}
	return total
}

// ahead is the cost that starts before w if w were queued now. A workspace that
// is within its share waits for its own requests, and for as much of the others'
// as their weights allow, never for more than the whole level.
func (l *level) ahead(w *waiter) float64 {
	f := l.flows[w.request.Workspace]
	if f == nil || f.length == 0 {
		return 0
	}
	return min(l.cost, f.costUpTo(w.class)*l.weight/f.weight)
}
