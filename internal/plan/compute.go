package plan

import "math"

// Compute weighs plans for the input's model towards the bound. It returns a
// *GapError when some layer has no usable target.
func Compute(in Input) (*Set, error) {
	g, err := newGraph(in)
	if err != nil {
		return nil, err
	}
	return g.greedy(), nil
}

func (g *graph) greedy() *Set {
	set := &Set{Bound: g.layerBound()}
	finder := newSearch(g)
	residual := make([]float64, len(g.groups))
	for i, grp := range g.groups {
		residual[i] = grp.rate * float64(len(grp.members))
	}
	for range 64 {
		p := g.latencyPrices()
		allowed := make([]bool, len(residual))
		for i, rest := range residual {
			allowed[i] = rest > 1e-6
		}
		legs, _, ok := finder.run(span{from: 0, to: len(g.cuts) - 1, before: noGroup, after: noGroup}, p, allowed)
		if !ok {
			break
		}
		legs = g.mergeRevisits(legs, func(index int) int { return len(g.groups[index].members) })
		weight := math.Inf(1)
		for _, l := range legs {
			weight = min(weight, residual[l.group]/float64(g.cuts[l.to]-g.cuts[l.from]))
		}
		for _, l := range legs {
			residual[l.group] -= weight * float64(g.cuts[l.to]-g.cuts[l.from])
		}
		set.paths = append(set.paths, weightedPath{legs: legs, weight: weight})
		plan, _ := g.pick(legs, func(string) bool { return true }, nil)
		plan.Weight = weight
		set.Plans = append(set.Plans, plan)
	}
	set.graph = g
	return set
}

// layerBound is the capacity of all engines over the layers that each token needs.
func (g *graph) layerBound() float64 {
	total := 0.0
	for _, grp := range g.groups {
		total += grp.rate * float64(len(grp.members))
	}
	return total / float64(g.model.Layers)
}
