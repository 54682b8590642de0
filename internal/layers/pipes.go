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

// pipes are this VM's parts of the links between data centres.
type pipes map[link]*pipe

func (p pipes) of(a, b string) *pipe {
	name := linkOf(a, b)
	if p[name] == nil {
		p[name] = &pipe{}
	}
	return p[name]
}

// pipeRate is this VM's part of a link, in bytes a second.
func (t *Table) pipeRate() float64 {
	const bitsPerMegabyte = 8
	return pipeUse * t.sharers.freePart() * t.spec.LinkMbps / bitsPerMegabyte * 1e6
}

// mayCross reports whether a request may be sent between the two data centres now. The
// table is locked.
func (t *Table) mayCross(a, b string, now time.Time) bool {
	return t.spec.LinkMbps <= 0 || t.pipes.of(a, b).open(now, t.pipeRate())
}

// cross notes what a request sends between data centres along a part of its path, which
// begins behind a stage in the data centre from, if that is not empty. The table is
// locked.
func (t *Table) cross(from string, part Path, tokens float64, now time.Time) {
	for _, stage := range part {
		at := stage.Replica.DataCentre
		if from != "" && from != at && t.spec.LinkMbps > 0 {
			t.pipes.of(from, at).take(now, t.pipeRate(), tokens*t.spec.ActivationBytes)
		}
		from = at
	}
}
