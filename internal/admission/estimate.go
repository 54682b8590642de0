package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// estimateWait returns the expected waiting time of w if it were queued now.
func (p *pool) estimateWait(w *waiter, now time.Time) time.Duration {
	r := w.request
	var wait time.Duration
	for u := r.Urgency + 1; u < config.UrgencyCount; u++ {
		wait += p.wait(p.levels[u], p.levels[u].cost, now)
	}
	l := p.levels[r.Urgency]
	return wait + p.wait(l, l.costAhead(w), now)
}

// wait returns the expected time until the level has started requests of the given
// total cost. A level without starts so far uses the rate of finished requests.
func (p *pool) wait(l *level, cost float64, now time.Time) time.Duration {
	if cost <= 0 {
		return 0
	}
	if l.meter.hasData() {
		return l.meter.wait(now, cost)
	}
	return p.finishMeter.wait(now, cost*float64(l.length)/l.cost)
}

// drainTime returns the expected time until the queue is empty.
func (p *pool) drainTime(now time.Time) time.Duration {
	var total time.Duration
	for _, l := range p.levels {
		total += p.wait(l, l.cost, now)
	}
	return total
}

// costAhead returns the cost of the requests that would start before w if w were
// queued now: those of its own workspace, and as much of the others as their weights
// allow, but never more than the whole level.
func (l *level) costAhead(w *waiter) float64 {
	f := l.flows[w.request.Workspace]
	if f == nil || f.length == 0 {
		return 0
	}
	return min(l.cost, f.costUpTo(w.class)*l.weight/f.weight)
}
