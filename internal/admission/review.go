package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// scheduleReview starts the review timer, which runs while requests are queued. When
// all targets are stalled, no wake-up occurs, and requests whose deadlines can no longer
// be met would otherwise stay queued until their deadlines.
func (p *pool) scheduleReview() {
	if p.reviewTimer == nil {
		p.reviewTimer = time.AfterFunc(p.settings.ReviewInterval, p.review)
		return
	}
	p.reviewTimer.Reset(p.settings.ReviewInterval)
}

// review refuses the queued requests whose deadlines can no longer be met, and starts
// queued requests in case a wake-up was missed.
func (p *pool) review() {
	p.mu.Lock()
	defer p.release()
	if p.queued == 0 {
		return
	}
	now := time.Now()
	if !p.settings.faults.noReview {
		p.refuseUnmeetable(now)
	}
	p.startBatch(now)
	if p.queued > 0 {
		p.scheduleReview()
	}
}

// refuseUnmeetable refuses the queued requests whose deadlines can no longer be met.
func (p *pool) refuseUnmeetable(now time.Time) {
	var above time.Duration
	for u := config.UrgencyCount - 1; u >= 0; u-- {
		l := p.levels[u]
		for _, w := range p.unmeetable(l, now, above) {
			p.counts.Expired++
			p.refuse(w, refuseDeadline(p.drainTime(now)))
		}
		above += p.wait(l, l.cost, now)
	}
}

// unmeetable returns the queued requests of the level that cannot start in time, given
// the expected time above that the more urgent levels need. It counts the cost ahead
// within a deadline class of a flow, but not that of other classes, so the estimated
// wait is too low rather than too high.
func (p *pool) unmeetable(l *level, now time.Time, above time.Duration) []*waiter {
	var found []*waiter
	for _, f := range l.waiting {
		for class := range f.classes {
			found = p.unmeetableInClass(l, f, class, now, above, found)
		}
	}
	return found
}

// unmeetableInClass appends to found the requests of one deadline class of a flow that
// cannot start in time.
func (p *pool) unmeetableInClass(l *level, f *flow, class int, now time.Time, above time.Duration, found []*waiter) []*waiter {
	waiting := &f.classes[class]
	costAhead := 0.0
	for w := waiting.first; w != nil; w = waiting.after(w) {
		wait := above + p.wait(l, min(costAhead*l.weight/f.weight, l.cost), now)
		if w.request.WorkConserving {
			wait = 0
		}
		if now.Add(wait).After(w.startDeadline) {
			found = append(found, w)
			continue
		}
		costAhead += w.request.cost()
	}
	return found
}
