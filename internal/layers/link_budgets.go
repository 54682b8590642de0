package layers

import "time"

// link names two data centres, the lesser name first: both directions share a pipe.
type link struct{ a, b string }

func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// linkBudgets are this VM's parts of the links between data centres.
type linkBudgets map[link]*linkBudget

func (p linkBudgets) of(a, b string) *linkBudget {
	name := linkOf(a, b)
	if p[name] == nil {
		p[name] = &linkBudget{}
	}
	return p[name]
}

// linkRate is this VM's part of a link, in bytes a second.
func (t *Table) linkRate() float64 {
	const bitsPerMegabyte = 8
	return linkTargetUse * t.vmCounts.freePart() * t.spec.LinkMbps / bitsPerMegabyte * 1e6
}

// mayCross reports whether a request may be sent between the two data centres now. The
// table is locked.
func (t *Table) mayCross(a, b string, now time.Time) bool {
	return t.spec.LinkMbps <= 0 || t.links.of(a, b).allows(now, t.linkRate())
}

// chargeCrossings notes what a request sends between data centres along a part of its path, which
// begins behind a stage in the data centre from, if that is not empty. The table is
// locked.
func (t *Table) chargeCrossings(from string, part Path, tokens float64, now time.Time) {
	for _, stage := range part {
		at := stage.Replica.DataCentre
		if from != "" && from != at && t.spec.LinkMbps > 0 {
			t.links.of(from, at).spend(now, t.linkRate(), tokens*t.spec.ActivationBytes)
		}
		from = at
	}
}
