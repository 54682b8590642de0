package balance

import (
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

const (
	// pickAttempts bounds how often Pick chooses anew after losing a race for the
	// last slot of a target.
	pickAttempts = 3
	// scanCandidates is how many targets with room a scan compares.
	scanCandidates = 2
	// probePenalty keeps urgent requests from probing while another target has room.
	probePenalty = 100.0
)

// Pick chooses a target of the pool and reserves a slot on it. It returns
// ErrNoCapacity when waiting can help and ErrNoTarget when it cannot, and a *pushback.ThrottledError when
// all targets have asked not to be sent requests now.
func (b *Balancer) Pick(q Query) (*Slot, error) {
	p := b.view.Load().pools[q.Pool]
	if p == nil || len(p.members) == 0 {
		return nil, ErrNoTarget
	}
	now := time.Now()
	for range pickAttempts {
		t := b.choose(p, &q, now)
		if t == nil {
			break
		}
		if s := b.reserve(t, q.Urgency, now); s != nil {
			return s, nil
		}
	}
	if held := p.held(&q, b.settings.Gate, now); held != nil {
		return nil, held
	}
	return nil, p.noRoom(&q, now)
}

// Reserve takes a slot on a given target.
func (b *Balancer) Reserve(name string, u config.Urgency) (*Slot, error) {
	t := b.view.Load().targets[name]
	if t == nil {
		return nil, ErrNoTarget
	}
	now := time.Now()
	if s := b.reserve(t, u, now); s != nil {
		return s, nil
	}
	if t.isClosed() {
		return nil, ErrNoTarget
	}
	b.noteDenied(t, now)
	return nil, ErrNoCapacity
}

// choose returns the best of a few targets that have room, nil if none has.
func (b *Balancer) choose(p *pool, q *Query, now time.Time) *target {
	c := candidate{settings: &b.settings, now: now}
	if len(q.Prefixes) > 0 {
		c.offerHolders(q, p, now)
	}
	if len(p.members) <= b.settings.Choices {
		p.scan(q, &c, len(p.members))
		return c.best
	}
	for range b.settings.Choices {
		c.offer(q, p.members[c.settings.random(len(p.members))], 0)
	}
	if c.best == nil {
		p.scan(q, &c, scanCandidates)
	}
	return c.best
}

// scan looks through the whole pool from a random place until enough targets were
// found to have room, so that a request does not wait while a target that was not
// sampled has some.
func (p *pool) scan(q *Query, c *candidate, enough int) {
	offset := c.settings.random(len(p.members))
	for i := range p.members {
		at := offset + i
		if at >= len(p.members) {
			at -= len(p.members)
		}
		c.offer(q, p.members[at], 0)
		if c.offered >= enough {
			return
		}
	}
}

// reserve takes a slot on t, nil when t has none left.
func (b *Balancer) reserve(t *target, u config.Urgency, now time.Time) *Slot {
	if !t.take(u) {
		return nil
	}
	// The target may have been closed between the look at its limit and the taking
	// of the slot. The request would then reach a target that is about to stop and
	// be cut off; a second look after the taking sees every closing before it.
	if at := t.blockedAt.Load(); at != 0 {
		t.inFlight.Add(-1)
		closed := now.Sub(time.Unix(0, at))
		b.invariants.Check(closed <= b.settings.DrainBound, invariant.NoDispatchAfterDrain,
			"target %s was chosen %s after it was closed", t.name, closed)
		return nil
	}
	if !b.settings.Gate.Take(t.name, now) {
		t.inFlight.Add(-1)
		return nil
	}
	t.sent.add(now, 1)
	return &Slot{balancer: b, target: t, config: t.config.Load(), started: now}
}

// noRoom tells whether a slot may come free at a target that q accepts.
func (p *pool) noRoom(q *Query, now time.Time) error {
	for _, t := range p.members {
		if t.blockedAt.Load() == 0 && q.accepts(t) {
			p.noteDenied(now)
			return ErrNoCapacity
		}
	}
	return ErrNoTarget
}

func (t *target) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blocked() != "" || t.part.outside
}

func (b *Balancer) release(t *target, r Result, started time.Time) {
	now := time.Now()
	left := t.inFlight.Add(-1)
	if left < 0 {
		b.invariants.Check(false, invariant.SlotsNotNegative, "target %s has %d in flight", t.name, left)
	}
	t.sent.add(now, -1)
	t.settle(r, started, now)
	if b.settings.OnResult != nil {
		b.settings.OnResult(t.name, r)
	}
	b.freed(t)
}
