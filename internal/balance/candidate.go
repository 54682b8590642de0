package balance

import "geraniumcroft/internal/config"

// candidate keeps the best of the targets that were offered.
type candidate struct {
	query    *Query
	settings *Settings
	best     *target
	score    float64
	offered  int
}

// offer considers t if it has room for the query.
func (c *candidate) offer(t *target) {
	if !t.hasRoom(c.query.Urgency) || c.query.excludes(t.name) {
		return
	}
	c.offered++
	score := t.score() + c.adjust(t)
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
