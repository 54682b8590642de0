package balance

import (
	"time"

	"geraniumcroft/internal/config"
)

// candidate keeps the best of the targets that were offered.
type candidate struct {
	query    *Query
	settings *Settings
	best     *target
	score    float64
	offered  int
}

// offerHolders considers the targets that are said to have a prefix of the prompt
// cached. They must have room as any other: a hint saves work, but a queue behind
// a full target costs more than it saves.
func (c *candidate) offerHolders(p *pool, now time.Time) {
	found, covered := p.prefixes.find(c.query.Prefixes)
	for _, h := range found {
		if h.valid() {
			c.offer(h.target, c.settings.PrefixBonus*covered*h.target.hintTrust(now, c.settings))
		}
	}
}

// offer considers t if it has room for the query.
func (c *candidate) offer(t *target, bonus float64) {
	if !t.hasRoom(c.query.Urgency) || !c.query.accepts(t) {
		return
	}
	c.offered++
	score := t.score() + c.adjust(t) - bonus
	if c.best == nil || score < c.score {
		c.best, c.score = t, score
	}
}

func (c *candidate) adjust(t *target) float64 {
	adjust := 0.0
	if c.query.DataCentre != "" && t.config.Load().DataCentre != c.query.DataCentre {
		adjust += c.settings.RemotePenalty
	}
	if t.probing.Load() {
		adjust += c.probe()
	}
	return adjust
}

// probe makes less urgent requests go to a half-open target first, so that it is
// known soon whether it is well, and urgent ones last.
func (c *candidate) probe() float64 {
	if c.query.Urgency == config.Urgent {
		return probePenalty
	}
	return -probePenalty
}
