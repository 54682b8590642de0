package balance

import (
	"time"

	"geraniumcroft/internal/config"
)

// candidate keeps the best of the targets that were offered. It does not hold the
// query, which would then have to live on the heap as the target does.
type candidate struct {
	settings *Settings
	now      time.Time
	best     *target
	score    float64
	offered  int
}

// offerHolders considers the targets that are said to have a prefix of the prompt
// cached. They must have room as any other: a hint saves work, but a queue behind
// a full target costs more than it saves.
func (c *candidate) offerHolders(q *Query, p *pool, now time.Time) {
	found, covered := p.prefixes.find(q.Prefixes)
	for _, h := range found {
		if h.valid() {
			c.offer(q, h.target, c.settings.PrefixBonus*covered*h.target.hintTrust(now, c.settings))
		}
	}
}

// offer considers t if it has room for the query.
func (c *candidate) offer(q *Query, t *target, bonus float64) {
	if !t.hasRoom(q.Urgency) || !q.accepts(t) {
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

func (c *candidate) adjust(q *Query, t *target) float64 {
	adjust := 0.0
	if q.DataCentre != "" && t.config.Load().DataCentre != q.DataCentre {
		adjust += c.settings.RemotePenalty
	}
	if t.probing.Load() {
		adjust += probe(q)
	}
	return adjust
}

// probe makes less urgent requests go to a half-open target first, so that it is
// known soon whether it is well, and urgent ones last.
func probe(q *Query) float64 {
	if q.Urgency == config.Urgent {
		return probePenalty
	}
	return -probePenalty
}
