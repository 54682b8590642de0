package plan

import "geraniumcroft/internal/config"

// pick turns a path into a plan by taking from each group the first member that
// is free and not used yet, starting at the group's turn. A nil turns starts at
// the first member. A preferred member that is free goes before its turn.
func (g *graph) pick(legs path, free func(string) bool, turns []int, preferred map[string]bool) (Plan, bool) {
	plan := Plan{Stages: make([]Stage, 0, len(legs))}
	for _, l := range legs {
		target := g.pickPreferred(l.group, plan, free, preferred)
		if target == nil {
			target = g.pickMember(l.group, plan, free, turns)
		}
		if target == nil {
			return Plan{}, false
		}
		layers := config.LayerRange{From: l.from, To: l.to}
		plan.Stages = append(plan.Stages, Stage{Target: target, Layers: layers})
	}
	return plan, true
}

func (g *graph) pickPreferred(index int, plan Plan, free func(string) bool, preferred map[string]bool) *config.Target {
	if len(preferred) == 0 {
		return nil
	}
	for _, member := range g.groups[index].members {
		if preferred[member.Name] && !plan.Uses(member.Name) && free(member.Name) {
			return member
		}
	}
	return nil
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
