package plan

import "geraniumcroft/internal/config"

// expansion turns paths over groups into plans over targets. Each path is cut
// into pieces so that every member of a group on it carries the same share; a
// member then carries no more than its part of what the group and its links may.
type expansion struct {
	g     *graph
	plans []Plan
	// stages is room for the plans' stages, taken at once.
	stages []Stage
	// legs are those of the present path.
	legs []expandedLeg
}

func (g *graph) expand(paths []weightedPath) []Plan {
	plans, stages := 0, 0
	for _, p := range paths {
		pieces := g.mostPieces(p.legs)
		plans += pieces
		stages += pieces * len(p.legs)
	}
	e := &expansion{g: g, plans: make([]Plan, 0, plans), stages: make([]Stage, 0, stages)}
	for _, p := range paths {
		e.add(p)
	}
	return e.plans
}

// mostPieces bounds a path's pieces: each ends where some member's share does.
func (g *graph) mostPieces(legs path) int {
	pieces := 0
	for _, l := range legs {
		pieces += g.memberCount(l.group)
	}
	return pieces
}

func (e *expansion) add(p weightedPath) {
	e.start(p.legs)
	for done := 0.0; done < 1; {
		next := 1.0
		for i := range e.legs {
			next = min(next, e.legs[i].end)
		}
		e.plans = append(e.plans, Plan{Stages: e.piece(), Weight: (next - done) * p.weight})
		for i := range e.legs {
			if e.legs[i].end == next {
				e.legs[i].advance()
			}
		}
		done = next
	}
}

// start puts each leg at its group's first member. A path that visits a group
// again starts at the member after, so that no target has two stages.
func (e *expansion) start(legs path) {
	e.legs = e.legs[:0]
	for i, l := range legs {
		members := e.g.groups[l.group].members
		e.legs = append(e.legs, expandedLeg{
			layers: config.LayerRange{From: l.from, To: l.to}, members: members,
			offset: legs[:i].uses(l.group), end: 1 / float64(len(members)),
		})
	}
}

// piece takes from each leg's group the member whose turn it is.
func (e *expansion) piece() []Stage {
	start := len(e.stages)
	for i := range e.legs {
		e.stages = append(e.stages, Stage{Target: e.legs[i].member(), Layers: e.legs[i].layers})
	}
	return e.stages[start:len(e.stages):len(e.stages)]
}
