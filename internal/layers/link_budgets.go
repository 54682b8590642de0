package layers

import "time"

// link identifies the link between two data centres, the lesser name first. Both directions
// share one budget.
type link struct{ a, b string }

// linkOf returns the link between two data centres in either order.
func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// linkBudgets are this VM's budgets by link.
type linkBudgets map[link]*linkBudget

// of returns the budget of the link between two data centres and creates it if needed.
func (p linkBudgets) of(a, b string) *linkBudget {
	name := linkOf(a, b)
	if p[name] == nil {
		p[name] = &linkBudget{}
	}
	return p[name]
}

// linkRate returns this VM's part of a link, in bytes a second.
func (t *Table) linkRate() float64 {
	const bitsPerMegabyte = 8
	return linkTargetUse * t.vmCounts.freePart() * t.spec.LinkMbps / bitsPerMegabyte * 1e6
}

// mayCross reports whether a request may be sent between two data centres now. t.mu is held.
func (t *Table) mayCross(a, b string, now time.Time) bool {
	return t.spec.LinkMbps <= 0 || t.linkBudgets.of(a, b).allows(now, t.linkRate())
}

// chargeCrossings charges the links for what a request sends between data centres along a
// part of its path. From is the data centre of the stage before that part, empty if there
// is none. t.mu is held.
func (t *Table) chargeCrossings(from string, part Path, tokens float64, now time.Time) {
	for _, stage := range part {
		at := stage.Replica.DataCentre
		if from != "" && from != at && t.spec.LinkMbps > 0 {
			t.linkBudgets.of(from, at).spend(now, t.linkRate(), tokens*t.spec.ActivationBytes)
		}
		from = at
	}
}
