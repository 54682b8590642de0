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
	// gates are locked before mu, one per level, so that at most one arriving request
	// of each level contends for mu. Without them, an urgent request would wait for mu
	// behind a burst of bulk arrivals.
	gates [config.UrgencyCount]sync.Mutex
	// pending counts the requests that wait or may be about to wait.
	pending atomic.Int64
	// wakePending is set while a wake-up is to be served.
	wakePending atomic.Bool

	mu         sync.Mutex // guards the fields below
	levels     [config.UrgencyCount]*level
	queued     int            // all queued requests
	workspaces map[string]int // queued requests by workspace
	// normalSinceBulk counts the normal requests that started while bulk requests
	// waited, since the last start of a bulk request.
	normalSinceBulk int
	reviewTimer     *time.Timer
	// finishMeter observes the ends of requests. It is used for levels without starts
	// so far.
	finishMeter meter
	counts      counts
}

func newPool(name string, settings Settings) *pool {
	p := &pool{name: name, settings: settings, workspaces: map[string]int{}}
	for urgency := range p.levels {
		p.levels[urgency] = newLevel()
	}
	return p
}

// lock locks the pool for a request of the given urgency.
func (p *pool) lock(u config.Urgency) {
	if !p.settings.faults.noGates {
		p.gates[u].Lock()
	}
	p.mu.Lock()
}

// unlock undoes lock and serves pending wake-ups.
func (p *pool) unlock(u config.Urgency) {
	p.release()
	if !p.settings.faults.noGates {
		p.gates[u].Unlock()
	}
}

// admitOrQueue starts the request and returns nil, nil, or refuses it and returns the
// failure, or queues it and returns its waiter.
func (p *pool) admitOrQueue(r *Request, try func() bool) (*waiter, *outcome.Failure) {
	p.lock(r.Urgency)
	defer p.unlock(r.Urgency)
	now := time.Now()
	if r.missesDeadline(now) {
		p.counts.Deadline++
		return nil, refuseDeadline(p.drainTime(now))
	}
	// The request counts as pending before try checks the capacity, so that Wake does
	// not ignore capacity that becomes free after the check.
	p.pending.Add(1)
	if p.mayTry(r, now) && try() {
		p.pending.Add(-1)
		p.counts.Direct++
		return nil, nil
	}
	w := newWaiter(r, try, now, p.settings.MaxWait)
	if failure := p.enqueue(w, now); failure != nil {
		p.pending.Add(-1)
		return nil, failure
	}
	return w, nil
}

// mayTry reports whether an arriving request may start now. For a work-conserving request the queued
// requests go first, but do not keep it waiting if they cannot start.
func (p *pool) mayTry(r *Request, now time.Time) bool {
	if !r.WorkConserving {
		return p.isNext(r)
	}
	if p.queued > 0 {
		p.startBatch(now)
	}
	return true
}

// isNext reports whether no queued request goes before r.
func (p *pool) isNext(r *Request) bool {
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

// withdraw refuses w with the failure, unless w was resolved in the meantime.
func (p *pool) withdraw(w *waiter, failure func() *outcome.Failure) {
	p.lock(w.request.Urgency)
	defer p.unlock(w.request.Urgency)
	if w.resolved {
		return
	}
	p.counts.Abandoned++
	p.refuse(w, failure())
}

// await waits until w is resolved or past its start deadline, or ctx is done, and
// returns the failure if w was refused. starved, if not nil, is called at once and every
// Settings.StarvedInterval until then.
func (p *pool) await(ctx context.Context, w *waiter, starved func()) *outcome.Failure {
	startTimer := time.NewTimer(time.Until(w.startDeadline))
	defer startTimer.Stop()
	var starvedTick <-chan time.Time
	if starved != nil {
		starved()
		starvedTick = time.After(p.settings.StarvedInterval)
	}
	for {
		select {
		case <-w.done:
			return w.failure
		case <-starvedTick:
			starved()
			starvedTick = time.After(p.settings.StarvedInterval)
		case <-startTimer.C:
			p.withdraw(w, func() *outcome.Failure { return refuseDeadline(p.drainTime(time.Now())) })
			<-w.done
			return w.failure
		case <-ctx.Done():
			p.withdraw(w, func() *outcome.Failure { return refuseEnded(ctx) })
			<-w.done
			return w.failure
		}
	}
}
