package plan

import "geraniumcroft/internal/config"

// pick turns a path into a plan by taking from each group the first member that
// is free and not used yet, starting at the group's turn. A nil turns starts at
// the first member.
func (g *graph) pick(legs path, free func(string) bool, turns []int) (Plan, bool) {
	plan := Plan{Stages: make([]Stage, 0, len(legs))}
	for _, l := range legs {
		target := g.pickMember(l.group, plan, free, turns)
		if target == nil {
			return Plan{}, false
		}
		layers := config.LayerRange{From: l.from, To: l.to}
		plan.Stages = append(plan.Stages, Stage{Target: target, Layers: layers})
	}
	return plan, true
}

func (g *graph) pickMember(index int, plan Plan, free func(string) bool, turns []int) *config.Target {
	members := g.groups[index].members
	start := 0
	if turns != nil {
		start = turns[index]
	}
	for i := range members {
		at := (start + i) % len(members)
		if plan.Uses(members[at].Name) || !free(members[at].Name) {
			continue
		}
		if turns != nil {
			turns[index] = at + 1
		}
		return members[at]
	}
	return nil
}
