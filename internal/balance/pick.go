package balance

import (
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

const (
	// pickAttempts limits how often Pick chooses again after another request took the last
	// slot of the chosen target.
	pickAttempts = 3
	// scanCandidates is how many targets with a free slot a scan compares.
	scanCandidates = 2
	// probePenalty keeps urgent requests from probing while another target has a free slot.
	probePenalty = 100.0
)

// Pick chooses a target of the pool and reserves a slot on it. It returns ErrNoCapacity if
// waiting can help, ErrNoTarget if it cannot, and a *pushback.ThrottledError if all targets have
// asked not to be sent requests now.
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
	if throttledError := p.throttledError(&q, b.settings.Gate, now); throttledError != nil {
		return nil, throttledError
	}
	return nil, p.noSlotError(&q, now)
}

// Reserve reserves a slot on the given target. It returns ErrNoCapacity if waiting can help
// and ErrNoTarget if it cannot.
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
	b.recordDenied(t, now)
	return nil, ErrNoCapacity
}

// choose returns the best of a few targets that have a free slot, nil if none has one.
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

// scan offers the targets of the pool in order, from a random one on, until enough of them
// have a free slot. A request then does not wait while a target that was not sampled has a
// free slot.
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

// reserve takes a slot on t. It returns nil if t has none or its gate is closed.
func (b *Balancer) reserve(t *target, u config.Urgency, now time.Time) *Slot {
	if !t.take(u) {
		return nil
	}
	// The target may have been closed after its limit was read and before the slot was
	// taken. The request would then be sent to a target that is about to stop, and be cut
	// off. Checking blockedAt after taking the slot detects every earlier closing.
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

// noSlotError returns ErrNoCapacity if a slot may become free at a target that q accepts, else
// ErrNoTarget.
func (p *pool) noSlotError(q *Query, now time.Time) error {
	for _, t := range p.members {
		if t.blockedAt.Load() == 0 && q.accepts(t) {
			p.recordDenied(now)
			return ErrNoCapacity
		}
	}
	return ErrNoTarget
}

// isClosed reports whether the target takes no requests from this VM for another reason than
// an ejection.
func (t *target) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blocked() != "" || t.allotted.outsideSubset
}

// release gives back a slot and records the result of its request.
func (b *Balancer) release(t *target, r Result, started time.Time) {
	now := time.Now()
	left := t.inFlight.Add(-1)
	if left < 0 {
		b.invariants.Check(false, invariant.SlotsNotNegative, "target %s has %d in flight", t.name, left)
	}
	t.sent.add(now, -1)
	t.recordResult(r, started, now)
	if b.settings.OnResult != nil {
		b.settings.OnResult(t.name, r)
	}
	b.notifyFreed(t)
}
