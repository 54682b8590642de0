package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// scheduleReview arms the pool's timer. It runs while requests are queued: when
// the targets stand still nothing else would wake the pool, and the requests
// whose deadline has become hopeless would wait for it in vain.
func (p *pool) scheduleReview() {
	if p.reviewer == nil {
		p.reviewer = time.AfterFunc(p.settings.ReviewInterval, p.review)
		return
	}
	p.reviewer.Reset(p.settings.ReviewInterval)
}

// review refuses the queued requests whose deadline can no longer be met, and
// starts what can be started in case a wake-up was missed.
func (p *pool) review() {
	p.mu.Lock()
	defer p.release()
	if p.queued == 0 {
		return
	}
	now := time.Now()
	if !p.settings.faults.noReview {
		p.refuseHopeless(now)
	}
	p.startSome(now)
	if p.queued > 0 {
		p.scheduleReview()
	}
}

func (p *pool) refuseHopeless(now time.Time) {
	var above time.Duration
	for u := config.UrgencyCount - 1; u >= 0; u-- {
		l := p.levels[u]
		for _, w := range p.hopeless(l, now, above) {
			p.counts.Expired++
			p.refuse(w, refuseDeadline(p.drain(now)))
		}
		above += p.wait(l, l.cost, now)
	}
}

// hopeless returns the queued requests that cannot start in time, given the wait
// for the levels above. Within each class of a flow the cost ahead is counted
// exactly, that of other classes not at all, so the estimate is on the low side.
func (p *pool) hopeless(l *level, now time.Time, above time.Duration) []*waiter {
	var found []*waiter
	for _, f := range l.waiting {
		for class := range f.classes {
			found = p.hopelessIn(l, f, class, now, above, found)
		}
	}
	return found
}

func (p *pool) hopelessIn(l *level, f *flow, class int, now time.Time, above time.Duration, found []*waiter) []*waiter {
	waiting := &f.classes[class]
	ahead := 0.0
	for w := waiting.first; w != nil; w = waiting.after(w) {
		wait := above + p.wait(l, min(ahead*l.weight/f.weight, l.cost), now)
		if now.Add(wait).After(w.lastStart) {
			found = append(found, w)
			continue
		}
		ahead += w.request.cost()
	}
	return found
}
