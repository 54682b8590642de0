package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// grantsPerTurn bounds how many requests one holder of the lock starts, so that
// an arriving urgent request waits for a few starts at most.
const grantsPerTurn = 8

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
	// woken is set while a wake-up is due, so that wake-ups do not pile up.
	woken atomic.Bool

	mu         sync.Mutex // guards the fields below
	levels     [config.UrgencyCount]*level
	queued     int
	workspaces map[string]int
	sinceBulk  int
	reviewed   time.Time
	finished   meter
	counts     counts
}

func newPool(name string, settings Settings) *pool {
	p := &pool{name: name, settings: settings, workspaces: map[string]int{}}
	for urgency := range p.levels {
		p.levels[urgency] = newLevel()
	}
	return p
}

func (p *pool) lock(u config.Urgency) {
	p.gates[u].Lock()
	p.mu.Lock()
}

func (p *pool) unlock(u config.Urgency) {
	p.mu.Unlock()
	p.gates[u].Unlock()
}

// enter starts the request, or refuses it, or returns a waiter for it.
func (p *pool) enter(r *Request, try func() bool) (*waiter, *outcome.Failure) {
	p.lock(r.Urgency)
	defer p.unlock(r.Urgency)
	now := time.Now()
	lastStart := r.lastStart(now)
	if !lastStart.IsZero() && now.After(lastStart) {
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
	w := &waiter{request: r, try: try, queuedAt: now, lastStart: lastStart, done: make(chan struct{})}
	w.class = classCount - 1
	if !lastStart.IsZero() {
		w.class = classOf(lastStart.Sub(now))
	}
	if failure := p.queue(w, now); failure != nil {
		p.interested.Add(-1)
		return nil, failure
	}
	return w, nil
}

func (p *pool) nobodyAhead(r *Request) bool {
	for u := r.Urgency; u < config.UrgencyCount; u++ {
		if p.levels[u].length > 0 {
			return false
		}
	}
	return true
}

// queue puts w into its queue, at the expense of a less urgent one if need be.
func (p *pool) queue(w *waiter, now time.Time) *outcome.Failure {
	r := w.request
	if !r.Resume {
		if !w.lastStart.IsZero() && now.Add(p.estimate(r, now)).After(w.lastStart) {
			p.counts.Deadline++
			return refuseDeadline(p.drain(now))
		}
		if failure := p.makeRoom(r, now); failure != nil {
			return failure
		}
	}
	l := p.levels[r.Urgency]
	if l.length == 0 {
		l.meter.restart(now)
	}
	l.push(w)
	p.queued++
	p.workspaces[r.Workspace]++
	return nil
}

// makeRoom refuses the newest request that is less urgent than r when the
// queue, or the workspace's part of it, is full.
func (p *pool) makeRoom(r *Request, now time.Time) *outcome.Failure {
	if p.workspaces[r.Workspace] >= p.settings.MaxQueuedPerWorkspace {
		victim := p.newestOf(r.Workspace, r.Urgency)
		if victim == nil {
			p.counts.WorkspaceFull++
			return refuseWorkspaceFull(p.drain(now))
		}
		p.displace(victim, now)
	}
	if p.queued < p.settings.MaxQueued {
		return nil
	}
	for u := config.Bulk; u < r.Urgency; u++ {
		if victim := p.levels[u].newest; victim != nil {
			p.displace(victim, now)
			return nil
		}
	}
	p.counts.Full++
	return refuseFull(p.drain(now))
}

func (p *pool) newestOf(workspace string, below config.Urgency) *waiter {
	for u := config.Bulk; u < below; u++ {
		if f := p.levels[u].flows[workspace]; f != nil && f.length > 0 {
			return f.newest()
		}
	}
	return nil
}

func (p *pool) displace(w *waiter, now time.Time) {
	p.counts.Displaced++
	p.refuse(w, refuseDisplaced(p.drain(now)))
}

func (p *pool) refuse(w *waiter, failure *outcome.Failure) {
	p.take(w)
	w.settle(failure)
}

// take removes w from its queue.
func (p *pool) take(w *waiter) {
	r := w.request
	p.levels[r.Urgency].remove(w)
	p.queued--
	p.interested.Add(-1)
	p.workspaces[r.Workspace]--
	if p.workspaces[r.Workspace] == 0 {
		delete(p.workspaces, r.Workspace)
	}
}

// estimate is the time that r would wait if it were queued now.
func (p *pool) estimate(r *Request, now time.Time) time.Duration {
	var wait time.Duration
	for u := r.Urgency + 1; u < config.UrgencyCount; u++ {
		wait += p.wait(p.levels[u], p.levels[u].cost, now)
	}
	l := p.levels[r.Urgency]
	return wait + p.wait(l, l.ahead(r), now)
}

func (p *pool) wait(l *level, cost float64, now time.Time) time.Duration {
	if cost <= 0 {
		return 0
	}
	return l.meter.wait(now, cost)
}

// drain is the time that the whole queue needs.
func (p *pool) drain(now time.Time) time.Duration {
	var total time.Duration
	for _, l := range p.levels {
		total += p.wait(l, l.cost, now)
	}
	return total
}

// wake starts what can be started, at most grantsPerTurn requests, and reports
// whether it stopped at that bound.
func (p *pool) wake() (more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.woken.Store(false)
	now := time.Now()
	for range grantsPerTurn {
		if !p.startNext(now) {
			p.review(now)
			return false
		}
	}
	return true
}

func (p *pool) startNext(now time.Time) bool {
	for {
		w := p.next()
		if w == nil {
			return false
		}
		if w.tooLate(now) {
			p.counts.Expired++
			p.refuse(w, refuseDeadline(p.drain(now)))
			continue
		}
		return p.start(w, now)
	}
}

// next chooses the request whose turn it is.
func (p *pool) next() *waiter {
	if w := p.levels[config.Urgent].head(); w != nil {
		return w
	}
	normal, bulk := p.levels[config.Normal].head(), p.levels[config.Bulk].head()
	if normal == nil {
		return bulk
	}
	if bulk != nil && p.sinceBulk >= p.settings.BulkTurn {
		p.sinceBulk = 0
		return bulk
	}
	return normal
}

func (p *pool) start(w *waiter, now time.Time) bool {
	if !w.try() {
		return false
	}
	l := p.levels[w.request.Urgency]
	l.meter.started(now, w.request.cost())
	l.charge(w)
	p.take(w)
	p.noteTurn(w.request.Urgency)
	p.counts.Queued++
	w.settle(nil)
	return true
}

func (p *pool) noteTurn(u config.Urgency) {
	switch u {
	case config.Bulk:
		p.sinceBulk = 0
	case config.Normal:
		p.sinceBulk++
	}
}

// review refuses the queued requests whose deadline can no longer be met.
func (p *pool) review(now time.Time) {
	if now.Sub(p.reviewed) < p.settings.ReviewInterval {
		return
	}
	p.reviewed = now
	var above time.Duration
	for u := config.UrgencyCount - 1; u >= 0; u-- {
		l := p.levels[u]
		for _, w := range l.hopeless(now, above) {
			p.counts.Expired++
			p.refuse(w, refuseDeadline(p.drain(now)))
		}
		above += p.wait(l, l.cost, now)
	}
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
	var late, again <-chan time.Time
	if !w.lastStart.IsZero() {
		timer := time.NewTimer(time.Until(w.lastStart))
		defer timer.Stop()
		late = timer.C
	}
	if starved != nil {
		starved()
		ticker := time.NewTicker(p.settings.StarvedInterval)
		defer ticker.Stop()
		again = ticker.C
	}
	for {
		select {
		case <-w.done:
			return w.failure
		case <-again:
			starved()
		case <-late:
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
