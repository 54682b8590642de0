package plan

import (
	"slices"

	"geraniumcroft/internal/config"
)

// Repair replaces the failed stages of a plan. The others are kept as they are, because the KV
// cache that they hold stays valid; usable is not called for them, because the request already has
// their slots. If other targets cannot cover the missing layers, Repair computes a whole new plan.
func (c *Chooser) Repair(current Plan, failed map[string]bool, usable func(target string) bool) (Plan, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan, ok := c.replaceFailed(current, failed, usable); ok {
		return plan, true
	}
	free := func(name string) bool { return !failed[name] && (current.Uses(name) || usable(name)) }
	return c.cheapestPlan(c.pathSearch, c.graph.whole(), free)
}

// replaceFailed returns the plan with other targets for each run of failed stages. It reports false
// if they cannot be covered.
func (c *Chooser) replaceFailed(current Plan, failed map[string]bool, usable func(string) bool) (Plan, bool) {
	var repaired Plan
	for i := 0; i < len(current.Stages); i++ {
		if !failed[current.Stages[i].Target.Name] {
			repaired.Stages = append(repaired.Stages, current.Stages[i])
			continue
		}
		end := i
		for end+1 < len(current.Stages) && failed[current.Stages[end+1].Target.Name] {
			end++
		}
		pathSearch, missing := c.span(current, i, end)
		free := func(name string) bool {
			return !failed[name] && !current.Uses(name) && !repaired.Uses(name) && usable(name)
		}
		part, ok := c.cheapestPlan(pathSearch, missing, free)
		if !ok {
			return Plan{}, false
		}
		repaired.Stages = append(repaired.Stages, part.Stages...)
		i = end
	}
	return repaired, true
}

// span returns the span of the stages first to last with the groups of the adjacent stages, and a
// search whose cuts include both ends, as a plan may be cut within a range.
func (c *Chooser) span(current Plan, first, last int) (*search, span) {
	layers := config.LayerRange{From: current.Stages[first].Layers.From, To: current.Stages[last].Layers.To}
	pathSearch := c.pathSearch
	from, fromOK := slices.BinarySearch(c.graph.cuts, layers.From)
	to, toOK := slices.BinarySearch(c.graph.cuts, layers.To)
	if !fromOK || !toOK {
		pathSearch, from, to = c.lazyRefinedSearch(), layers.From, layers.To
	}
	over := span{from: from, to: to, before: noGroup, after: noGroup}
	if first > 0 {
		over.before = c.groupIndex(current.Stages[first-1])
	}
	if last+1 < len(current.Stages) {
		over.after = c.groupIndex(current.Stages[last+1])
	}
	return pathSearch, over
}

// lazyRefinedSearch returns the search with a cut between any two layers.
func (c *Chooser) lazyRefinedSearch() *search {
	if c.refinedSearch == nil {
		c.refinedSearch = newSearch(c.graph.refined())
	}
	return c.refinedSearch
}

// groupIndex returns the index of the group of the stage's target, or noGroup.
func (c *Chooser) groupIndex(stage Stage) int {
	if index, ok := c.graph.groupOf[stage.Target.Name]; ok {
		return index
	}
	return noGroup
}
