package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// startsPerTurn bounds how many requests one holder of the lock starts, so that
// an arriving urgent request waits for a few starts at most.
const startsPerTurn = 8

// startSome starts what can be started, at most startsPerTurn requests, and reports
// whether it stopped at that bound.
func (p *pool) startSome(now time.Time) (more bool) {
	for range startsPerTurn {
		if !p.startNext(now) {
			return false
		}
	}
	return p.queued > 0
}

// startNext starts the request whose turn it is, or one of its level that may pass
// it. Less urgent ones are not tried then: they find no more room.
func (p *pool) startNext(now time.Time) bool {
	if p.bulkTurn() && p.startBulkTurn(now) {
		return true
	}
	for i := range p.levels {
		u := config.UrgencyCount - 1 - i
		if p.settings.faults.noPriority {
			u = i
		}
		if w := p.live(p.levels[u], now); w != nil {
			return p.start(w, now) || p.startPast(w, now)
		}
	}
	return false
}

// live returns the level's next request after refusing those that are too late.
func (p *pool) live(l *level, now time.Time) *waiter {
	for {
		w := l.head()
		if w == nil || !w.tooLate(now) {
			return w
		}
		p.counts.Expired++
		p.refuse(w, refuseDeadline(p.drain(now)))
	}
}

// bulkTurn reports whether normal work has gone ahead of waiting bulk work often
// enough. There is no such turn while an urgent request waits, and what starts
// in it leaves the slots free that are for urgent requests only.
func (p *pool) bulkTurn() bool {
	return p.sinceBulk >= p.settings.NormalPerBulk &&
		p.levels[config.Urgent].length == 0 &&
		p.levels[config.Bulk].length > 0
}

func (p *pool) startBulkTurn(now time.Time) bool {
	w := p.live(p.levels[config.Bulk], now)
	if w == nil {
		return false
	}
	w.request.turn = true
	defer func() { w.request.turn = false }()
	return p.start(w, now)
}

func (p *pool) start(w *waiter, now time.Time) bool {
	if !w.try() {
		return false
	}
	l := p.levels[w.request.Urgency]
	l.meter.started(now, w.request.cost())
	if !p.settings.faults.noFairness {
		l.charge(w)
	}
	p.take(w)
	p.noteTurn(w.request.Urgency)
	p.counts.Queued++
	w.settle(nil)
	return true
}

func (p *pool) noteTurn(u config.Urgency) {
	switch {
	case u == config.Bulk:
		p.sinceBulk = 0
	case u == config.Normal && p.levels[config.Bulk].length > 0:
		p.sinceBulk++
	}
}
