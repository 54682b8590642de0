package plan

import (
	"math"
	"slices"

	"geraniumcroft/internal/config"
)

const (
	// topUps bounds the paths added to use what the missing targets left idle.
	topUps = 12
	// leastResidual is the share of a limit below which nothing more is put on it.
	leastResidual = 1e-6
	// spread keeps the prices of limits that are nearly used up finite.
	spread = 0.02
)

// Without returns a set that does without some targets, in much less time than a
// Compute: weights are lowered where the rest of a group cannot carry them, and a
// few paths are added over what lies idle. Its bound holds, but is proven with the
// old set's prices and may be higher than that of a Compute. The set has no Plans
// until Expanded. It returns a *GapError when some layer has no target left.
func (s *Set) Without(missing map[string]bool) (*Set, error) {
	g := s.graph.without(missing)
	if layer, ok := g.uncovered(); ok {
		return nil, &GapError{Model: g.model.Name, Version: g.version, Adapter: g.adapter, Layer: layer}
	}
	next := &Set{graph: g, rows: g.newRows(), price: s.price}
	for i, limit := range next.rows.list {
		next.Bound += s.price[i] * limit.capacity
	}
	residual := next.keep(s.paths)
	next.topUp(residual)
	return next, nil
}

// without returns the graph with the same groups and fewer members.
func (g *graph) without(missing map[string]bool) *graph {
	rest := *g
	rest.groups = slices.Clone(g.groups)
	for name := range missing {
		index, ok := g.groupOf[name]
		if !ok {
			continue
		}
		copied := *rest.groups[index]
		copied.members = slices.DeleteFunc(slices.Clone(copied.members), func(t *config.Target) bool { return t.Name == name })
		rest.groups[index] = &copied
	}
	return &rest
}

// keep takes over the old paths with weights that the limits allow, and returns
// what is left of each limit.
func (s *Set) keep(old []weightedPath) []float64 {
	shares := make([][]share, len(old))
	load := make([]float64, len(s.rows.list))
	for i, p := range old {
		shares[i] = s.graph.shares(s.rows, p.legs)
		for _, part := range shares[i] {
			load[part.row] += part.amount * p.weight
		}
	}
	residual := make([]float64, len(load))
	for i, limit := range s.rows.list {
		residual[i] = limit.capacity
	}
	for i, p := range old {
		if !s.graph.possible(p.legs) {
			continue
		}
		for _, part := range shares[i] {
			p.weight = min(p.weight, old[i].weight*s.rows.list[part.row].capacity/load[part.row])
		}
		s.add(p, shares[i], residual)
	}
	return residual
}

// possible reports whether each group still has a member for each of its legs.
func (g *graph) possible(legs path) bool {
	for _, l := range legs {
		if legs.uses(l.group) > g.memberCount(l.group) {
			return false
		}
	}
	return true
}

func (s *Set) add(p weightedPath, shares []share, residual []float64) {
	s.paths = append(s.paths, p)
	for _, part := range shares {
		residual[part.row] -= part.amount * p.weight
	}
}

// topUp adds paths over the limits that have the most left.
func (s *Set) topUp(residual []float64) {
	finder := newSearch(s.graph)
	allowed := make([]bool, len(s.graph.groups))
	price := make([]float64, len(residual))
	for range topUps {
		s.priceResidual(residual, price, allowed)
		legs, _, ok := finder.run(s.graph.whole(), s.graph.rowPrices(s.rows, price), allowed)
		if !ok {
			return
		}
		legs = s.graph.mergeRevisits(legs, s.graph.memberCount)
		shares := s.graph.shares(s.rows, legs)
		weight := math.Inf(1)
		for _, part := range shares {
			weight = min(weight, residual[part.row]/part.amount)
		}
		if weight <= leastResidual*s.Bound {
			return
		}
		s.add(weightedPath{legs: legs, weight: weight}, shares, residual)
	}
}

// priceResidual makes what is scarce dear and leaves out groups that are used up.
func (s *Set) priceResidual(residual, price []float64, allowed []bool) {
	for i, limit := range s.rows.list {
		left := 0.0
		if limit.capacity > 0 {
			left = max(0, residual[i]/limit.capacity)
		}
		price[i] = 1 / (left*left + spread*spread) / max(limit.capacity, math.SmallestNonzeroFloat64)
		if i < len(allowed) {
			allowed[i] = left > leastResidual
		}
	}
}
