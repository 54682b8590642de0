package balance

import (
	"time"

	"geraniumcroft/internal/config"
)

// candidate is the best of the targets that were offered. It does not contain the query,
// because the query would then escape to the heap as the target does.
type candidate struct {
	settings *Settings
	now      time.Time
	best     *target
	score    float64
	// offered counts the targets that had a free slot.
	offered int
}

// offerHolders offers the targets that have a prefix of the prompt cached. They need a free
// slot as any other target does: a cached prefix saves less than a queue at a full target
// costs.
func (c *candidate) offerHolders(q *Query, p *pool, now time.Time) {
	found, covered := p.prefixes.find(q.Prefixes)
	for _, h := range found {
		if h.valid() {
			c.offer(q, h.target, c.settings.PrefixBonus*covered*h.target.hintTrust(now, c.settings))
		}
	}
}

// offer takes t as the best target if it has a free slot for the query and a lower score.
func (c *candidate) offer(q *Query, t *target, bonus float64) {
	if !t.hasFreeSlot(q.Urgency) || !q.accepts(t) {
		return
	}
	if open, _ := c.settings.Gate.Open(t.name, c.now); !open {
		return
	}
	c.offered++
	score := t.score() + c.adjust(q, t) - bonus
	if c.best == nil || score < c.score {
		c.best, c.score = t, score
	}
}

// adjust returns what is added to the score of t for this query.
func (c *candidate) adjust(q *Query, t *target) float64 {
	adjust := 0.0
	if q.DataCentre != "" && t.config.Load().DataCentre != q.DataCentre {
		adjust += c.settings.RemotePenalty
	}
	if t.probing.Load() {
		adjust += probeAdjustment(q)
	}
	return adjust
}

// probeAdjustment makes less urgent requests prefer a half-open target, so that its health
// is known soon, and urgent ones avoid it.
func probeAdjustment(q *Query) float64 {
	if q.Urgency == config.Urgent {
		return probePenalty
	}
	return -probePenalty
}
