package admission

import (
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// queue puts w into its queue, at the expense of a less urgent one if need be.
func (p *pool) queue(w *waiter, now time.Time) *outcome.Failure {
	r := w.request
	if !r.Resume {
		if now.Add(p.estimate(w, now)).After(w.lastStart) {
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
	if p.queued == 0 {
		p.ends.restart(now)
		p.scheduleReview()
	}
	l.push(w)
	p.queued++
	p.workspaces[r.Workspace]++
	return nil
}

// makeRoom refuses another request in r's favour when the queue, or the
// workspace's part of it, is full: the newest less urgent one or, failing that,
// one of a workspace that holds more of the level than its share. Without the
// latter a few large workspaces would fill the queue and the small ones would be
// refused on arrival, however fair the order within the queue is.
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
		if victim := p.levels[u].arrivals.last; victim != nil {
			p.displace(victim, now)
			return nil
		}
	}
	if victim := p.levels[r.Urgency].longer(r); victim != nil {
		p.displace(victim, now)
		return nil
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
