package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// pool holds the queues of one pool of targets.
type pool struct {
	name     string
	settings Settings
	// gates keep arrivals of a level in line before they take the lock. Without
	// them a burst of bulk arrivals would stand in front of an urgent one on the
	// lock; with them at most one goroutine of each level contends for it.
	gates [config.UrgencyCount]sync.Mutex
	// interested counts the requests that wait or are about to.
	interested atomic.Int64
	// woken is set while a wake-up is to be served.
	woken atomic.Bool

	mu         sync.Mutex // guards the fields below
	levels     [config.UrgencyCount]*level
	queued     int
	workspaces map[string]int
	// sinceBulk counts the normal requests that started while bulk ones waited.
	sinceBulk int
	reviewer  *time.Timer
	// ends is the meter of finished requests, for levels without starts so far.
	ends   meter
	counts counts
}

func newPool(name string, settings Settings) *pool {
	p := &pool{name: name, settings: settings, workspaces: map[string]int{}}
	for urgency := range p.levels {
		p.levels[urgency] = newLevel()
	}
	return p
}

func (p *pool) lock(u config.Urgency) {
	if !p.settings.faults.noGates {
		p.gates[u].Lock()
	}
	p.mu.Lock()
}

func (p *pool) unlock(u config.Urgency) {
	p.release()
	if !p.settings.faults.noGates {
		p.gates[u].Unlock()
	}
}

// enter starts the request, or refuses it, or returns a waiter for it.
func (p *pool) enter(r *Request, try func() bool) (*waiter, *outcome.Failure) {
	p.lock(r.Urgency)
	defer p.unlock(r.Urgency)
	now := time.Now()
	if r.lost(now) {
		p.counts.Deadline++
		return nil, refuseDeadline(p.drain(now))
	}
	// The request counts as interested before try looks at the capacity: what is
	// freed after that look finds it counted and wakes the pool.
	p.interested.Add(1)
	if p.nobodyAhead(r) && try() {
		p.interested.Add(-1)
		p.counts.Direct++
		return nil, nil
	}
	w := newWaiter(r, try, now, p.settings.MaxWait)
	if failure := p.queue(w, now); failure != nil {
		p.interested.Add(-1)
		return nil, failure
	}
	return w, nil
}

// nobodyAhead reports whether no queued request goes before r.
func (p *pool) nobodyAhead(r *Request) bool {
	l := p.levels[r.Urgency]
	if l.resumed.first != nil || l.length > 0 && !r.Resume {
		return false
	}
	for u := r.Urgency + 1; u < config.UrgencyCount; u++ {
		if p.levels[u].length > 0 {
			return false
		}
	}
	return true
}

// abandon gives w up unless it was settled in the meantime.
func (p *pool) abandon(w *waiter, failure func() *outcome.Failure) {
	p.lock(w.request.Urgency)
	defer p.unlock(w.request.Urgency)
	if w.settled {
		return
	}
	p.counts.Abandoned++
	p.refuse(w, failure())
}

// await waits for w to be settled. starved is called now and then until then.
func (p *pool) await(ctx context.Context, w *waiter, starved func()) *outcome.Failure {
	late := time.NewTimer(time.Until(w.lastStart))
	defer late.Stop()
	var again <-chan time.Time
	if starved != nil {
		starved()
		again = time.After(p.settings.StarvedInterval)
	}
	for {
		select {
		case <-w.done:
			return w.failure
		case <-again:
			starved()
			again = time.After(p.settings.StarvedInterval)
		case <-late.C:
			p.abandon(w, func() *outcome.Failure { return refuseDeadline(p.drain(time.Now())) })
			<-w.done
			return w.failure
		case <-ctx.Done():
			p.abandon(w, func() *outcome.Failure { return refuseEnded(ctx) })
			<-w.done
			return w.failure
		}
	}
}
