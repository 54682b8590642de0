package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// startBatchSize limits the requests that are started while the lock is held once, so
// that an arriving urgent request waits for the lock only during a few starts.
const startBatchSize = 8

// startBatch starts queued requests until none can start, at most startBatchSize. It
// reports whether it stopped at that limit with requests still queued.
func (p *pool) startBatch(now time.Time) (more bool) {
	for range startBatchSize {
		if !p.startNext(now) {
			return false
		}
	}
	return p.queued > 0
}

// startNext starts the next request, or another one of its level that may bypass it,
// and reports whether it started one. Less urgent requests are tried only after a
// work-conserving one; otherwise they find no more capacity.
func (p *pool) startNext(now time.Time) bool {
	if p.bulkDue() && p.startDueBulk(now) {
		return true
	}
	for i := range p.levels {
		u := config.UrgencyCount - 1 - i
		if p.settings.faults.noPriority {
			u = i
		}
		w := p.nextLive(p.levels[u], now)
		if w == nil {
			continue
		}
		if p.start(w, now) || p.startBypassing(w, now) {
			return true
		}
		if !w.request.WorkConserving {
			return false
		}
	}
	return false
}

// nextLive returns the next request of the level that can still start in time, nil if
// there is none. It refuses the ones before it.
func (p *pool) nextLive(l *level, now time.Time) *waiter {
	for {
		w := l.head()
		if w == nil || !w.expired(now) {
			return w
		}
		p.counts.Expired++
		p.refuse(w, refuseDeadline(p.drainTime(now)))
	}
}

// bulkDue reports whether a waiting bulk request may start before normal ones, because
// Settings.NormalPerBulk normal requests have started while it waited. That is not the
// case while an urgent request waits. The bulk request does not use slots that are
// reserved for urgent requests, see Request.EffectiveUrgency.
func (p *pool) bulkDue() bool {
	return p.normalSinceBulk >= p.settings.NormalPerBulk &&
		p.levels[config.Urgent].length == 0 &&
		p.levels[config.Bulk].length > 0
}

// startDueBulk starts the next bulk request with the capacity of a normal one, and reports
// whether it did.
func (p *pool) startDueBulk(now time.Time) bool {
	w := p.nextLive(p.levels[config.Bulk], now)
	if w == nil {
		return false
	}
	w.request.inBulkTurn = true
	defer func() { w.request.inBulkTurn = false }()
	return p.start(w, now)
}

// start starts w if its try function takes capacity, and reports whether it did.
func (p *pool) start(w *waiter, now time.Time) bool {
	if !w.try() {
		return false
	}
	l := p.levels[w.request.Urgency]
	l.meter.observe(now, w.request.cost())
	if !p.settings.faults.noFairness {
		l.charge(w)
	}
	p.dequeue(w)
	p.countStart(w.request.Urgency)
	p.counts.Queued++
	w.resolve(nil)
	return true
}

// countStart updates normalSinceBulk for a start.
func (p *pool) countStart(u config.Urgency) {
	switch {
	case u == config.Bulk:
		p.normalSinceBulk = 0
	case u == config.Normal && p.levels[config.Bulk].length > 0:
		p.normalSinceBulk++
	}
}
