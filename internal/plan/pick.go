package plan

import "geraniumcroft/internal/config"

// pick converts a path into a plan. It takes from each group a preferred member that is free, or
// else the first member that is free and not used yet, starting at the group's nextMember. If
// nextMember is nil, it starts at the first member.
func (g *graph) pick(legs path, free func(string) bool, nextMember []int, preferred map[string]bool) (Plan, bool) {
	plan := Plan{Stages: make([]Stage, 0, len(legs))}
	for _, l := range legs {
		target := g.pickPreferred(l.group, plan, free, preferred)
		if target == nil {
			target = g.pickMember(l.group, plan, free, nextMember)
		}
		if target == nil {
			return Plan{}, false
		}
		layers := config.LayerRange{From: l.from, To: l.to}
		plan.Stages = append(plan.Stages, Stage{Target: target, Layers: layers})
	}
	return plan, true
}

// pickPreferred returns the first preferred member that is free and not in the plan, or nil.
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

// pickMember returns the first member from nextMember on that is free and not in the plan, or nil.
// It sets nextMember to the one after it.
func (g *graph) pickMember(index int, plan Plan, free func(string) bool, nextMember []int) *config.Target {
	members := g.groups[index].members
	start := 0
	if nextMember != nil {
		start = nextMember[index]
	}
	for i := range members {
		at := (start + i) % len(members)
		if plan.Uses(members[at].Name) || !free(members[at].Name) {
			continue
		}
		if nextMember != nil {
			nextMember[index] = at + 1
		}
		return members[at]
	}
	return nil
}
