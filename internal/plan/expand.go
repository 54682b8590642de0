package plan

import "geraniumcroft/internal/config"

// expansion converts paths over groups into plans over targets. Each path is cut into pieces so
// that every member of a group carries the same share. A member then carries no more than its part
// of the capacity of the group and its links.
type expansion struct {
	g     *graph
	plans []Plan
	// stages holds the stages of all plans in one allocation.
	stages []Stage
	// legs are those of the current path.
	legs []expandedLeg
}

// expand returns the plans of the paths, with a share of the path's weight each.
func (g *graph) expand(paths []weightedPath) []Plan {
	plans, stages := 0, 0
	for _, p := range paths {
		pieces := g.maxPieces(p.legs)
		plans += pieces
		stages += pieces * len(p.legs)
	}
	e := &expansion{g: g, plans: make([]Plan, 0, plans), stages: make([]Stage, 0, stages)}
	for _, p := range paths {
		e.add(p)
	}
	return e.plans
}

// maxPieces bounds the pieces of a path: each ends where some member's share ends.
func (g *graph) maxPieces(legs path) int {
	pieces := 0
	for _, l := range legs {
		pieces += g.memberCount(l.group)
	}
	return pieces
}

// add appends the plans of one path.
func (e *expansion) add(p weightedPath) {
	e.reset(p.legs)
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

// reset sets each leg to its group's first member. A path that visits a group again starts at the
// next member, so that no target has two stages.
func (e *expansion) reset(legs path) {
	e.legs = e.legs[:0]
	for i, l := range legs {
		members := e.g.groups[l.group].members
		e.legs = append(e.legs, expandedLeg{
			layers: config.LayerRange{From: l.from, To: l.to}, members: members,
			offset: legs[:i].uses(l.group), end: 1 / float64(len(members)),
		})
	}
}

// piece returns the stages of the current members of the legs.
func (e *expansion) piece() []Stage {
	start := len(e.stages)
	for i := range e.legs {
		e.stages = append(e.stages, Stage{Target: e.legs[i].member(), Layers: e.legs[i].layers})
	}
	return e.stages[start:len(e.stages):len(e.stages)]
}
