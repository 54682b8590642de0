package admission

import (
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// enqueue adds w to its queue and returns nil, or returns the failure with which w is
// refused. A full queue displaces another request if possible. A resumed request is
// never refused.
func (p *pool) enqueue(w *waiter, now time.Time) *outcome.Failure {
	r := w.request
	if !r.Resume {
		if !r.WorkConserving && now.Add(p.estimateWait(w, now)).After(w.startDeadline) {
			p.counts.Deadline++
			return refuseDeadline(p.drainTime(now))
		}
		if failure := p.makeRoom(r, now); failure != nil {
			return failure
		}
	}
	l := p.levels[r.Urgency]
	if l.length == 0 {
		l.meter.restart(now)
	}
	if p.queued == 0 {
		p.finishMeter.restart(now)
		p.scheduleReview()
	}
	l.push(w)
	p.queued++
	p.workspaces[r.Workspace]++
	return nil
}

// makeRoom displaces another request in favour of r if the queue or the workspace's
// share of it is full. It returns the failure for r if there is no request to displace.
// The displaced request is the newest of the least urgent ones below r. If there is
// none and the queue is full, it is the newest of the workspace that exceeds its share
// of the level the most. Without the latter rule, a few large workspaces would fill the
// queue and the requests of small ones would be refused on arrival, regardless of fair
// queueing.
func (p *pool) makeRoom(r *Request, now time.Time) *outcome.Failure {
	if p.workspaces[r.Workspace] >= p.settings.MaxQueuedPerWorkspace {
		victim := p.newestOf(r.Workspace, r.Urgency)
		if victim == nil {
			p.counts.WorkspaceFull++
			return refuseWorkspaceFull(p.drainTime(now))
		}
		p.displace(victim, now)
	}
	if p.queued < p.settings.MaxQueued {
		return nil
	}
	for u := config.Bulk; u < r.Urgency; u++ {
		if victim := p.levels[u].arrivals.last; victim != nil {
			p.displace(victim, now)
			return nil
		}
	}
	if victim := p.levels[r.Urgency].newestOverShare(r); victim != nil {
		p.displace(victim, now)
		return nil
	}
	p.counts.Full++
	return refuseFull(p.drainTime(now))
}

// newestOf returns the newest request of the workspace in the least urgent level below
// the given urgency that has one, else nil.
func (p *pool) newestOf(workspace string, below config.Urgency) *waiter {
	for u := config.Bulk; u < below; u++ {
		if f := p.levels[u].flows[workspace]; f != nil && f.length > 0 {
			return f.newest()
		}
	}
	return nil
}

// displace refuses a queued request in favour of another one.
func (p *pool) displace(w *waiter, now time.Time) {
	p.counts.Displaced++
	p.refuse(w, refuseDisplaced(p.drainTime(now)))
}

// refuse removes a queued request and resolves it with the failure.
func (p *pool) refuse(w *waiter, failure *outcome.Failure) {
	p.dequeue(w)
	w.resolve(failure)
}

// dequeue removes w from its queue.
func (p *pool) dequeue(w *waiter) {
	r := w.request
	p.levels[r.Urgency].remove(w)
	p.queued--
	p.pending.Add(-1)
	p.workspaces[r.Workspace]--
	if p.workspaces[r.Workspace] == 0 {
		delete(p.workspaces, r.Workspace)
	}
}
