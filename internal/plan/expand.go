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
	// turn is the member of each leg in the present piece.
	turn []int
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
	e.turn = append(e.turn[:0], make([]int, len(p.legs))...)
	for done := 0.0; done < 1; {
		next := 1.0
		for i, l := range p.legs {
			next = min(next, e.end(i, l))
		}
		e.plans = append(e.plans, Plan{Stages: e.piece(p.legs), Weight: (next - done) * p.weight})
		for i, l := range p.legs {
			if e.end(i, l) == next {
				e.turn[i]++
			}
		}
		done = next
	}
}

// end returns where the share of a leg's present member ends, as a part of the path.
func (e *expansion) end(i int, l leg) float64 {
	return float64(e.turn[i]+1) / float64(e.g.memberCount(l.group))
}

// piece takes from each leg's group the member whose turn it is. A path that
// visits a group again takes the member after, so that no target has two stages.
func (e *expansion) piece(legs path) []Stage {
	start := len(e.stages)
	for i, l := range legs {
		members := e.g.groups[l.group].members
		at := (e.turn[i] + legs[:i].uses(l.group)) % len(members)
		layers := config.LayerRange{From: l.from, To: l.to}
		e.stages = append(e.stages, Stage{Target: members[at], Layers: layers})
	}
	return e.stages[start:len(e.stages):len(e.stages)]
}
