package plan

import (
	"slices"

	"geraniumcroft/internal/config"
)

// Repair replaces the failed stages of a plan. Stages that still stand are kept
// as they are, because the KV cache that they hold stays valid; usable is not
// asked about them, for their slots are in hand. When the missing layers cannot
// be covered by other targets, Repair lays out a whole new plan.
func (c *Chooser) Repair(current Plan, failed map[string]bool, usable func(target string) bool) (Plan, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan, ok := c.patch(current, failed, usable); ok {
		return plan, true
	}
	free := func(name string) bool { return !failed[name] && (current.Uses(name) || usable(name)) }
	return c.layOut(c.finder, c.graph.whole(), free)
}

func (c *Chooser) patch(current Plan, failed map[string]bool, usable func(string) bool) (Plan, bool) {
	var patched Plan
	for i := 0; i < len(current.Stages); i++ {
		if !failed[current.Stages[i].Target.Name] {
			patched.Stages = append(patched.Stages, current.Stages[i])
			continue
		}
		end := i
		for end+1 < len(current.Stages) && failed[current.Stages[end+1].Target.Name] {
			end++
		}
		finder, missing := c.span(current, i, end)
		free := func(name string) bool {
			return !failed[name] && !current.Uses(name) && !patched.Uses(name) && usable(name)
		}
		part, ok := c.layOut(finder, missing, free)
		if !ok {
			return Plan{}, false
		}
		patched.Stages = append(patched.Stages, part.Stages...)
		i = end
	}
	return patched, true
}

// span returns the layers of stages first to last with their neighbours, and a
// search whose cuts include both ends: a plan may be cut within a range.
func (c *Chooser) span(current Plan, first, last int) (*search, span) {
	layers := config.LayerRange{From: current.Stages[first].Layers.From, To: current.Stages[last].Layers.To}
	finder := c.finder
	from, fromOK := slices.BinarySearch(c.graph.cuts, layers.From)
	to, toOK := slices.BinarySearch(c.graph.cuts, layers.To)
	if !fromOK || !toOK {
		finder, from, to = c.fineFinder(), layers.From, layers.To
	}
	over := span{from: from, to: to, before: noGroup, after: noGroup}
	if first > 0 {
		over.before = c.groupIndex(current.Stages[first-1])
	}
	if last+1 < len(current.Stages) {
		over.after = c.groupIndex(current.Stages[last+1])
	}
	return finder, over
}

func (c *Chooser) fineFinder() *search {
	if c.fine == nil {
		c.fine = newSearch(c.graph.refined())
	}
	return c.fine
}

func (c *Chooser) groupIndex(stage Stage) int {
	if index, ok := c.graph.groupOf[stage.Target.Name]; ok {
		return index
	}
	return noGroup
}
