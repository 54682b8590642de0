package plan

import (
	"math"
	"slices"

	"geraniumcroft/internal/config"
)

const (
	// maxAddedPaths bounds the paths that are added to use what is idle without the missing
	// targets.
	maxAddedPaths = 12
	// minResidual is the fraction of a row's capacity below which the row counts as used up.
	minResidual = 1e-6
	// priceDamping keeps the prices of rows that are nearly used up finite.
	priceDamping = 0.02
)

// Without returns a set without some targets, in much less time than Compute: weights are lowered
// where the rest of a group cannot carry them, and a few paths are added over idle capacity. The
// bound of the set is valid, but it is proved with the old set's prices and may be higher than that
// of Compute. The set has no Plans; see Expanded. It returns a *GapError if some layer has no
// target left.
func (s *Set) Without(missing map[string]bool) (*Set, error) {
	g := s.graph.without(missing)
	if layer, ok := g.uncovered(); ok {
		return nil, &GapError{Model: g.model.Name, Version: g.version, Adapter: g.adapter, Layer: layer}
	}
	next := &Set{graph: g, rows: g.newRows(), price: s.price}
	for i, limit := range next.rows.list {
		next.Bound += s.price[i] * limit.capacity
	}
	residual := next.keepPaths(s.paths)
	next.addPaths(residual)
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

// keepPaths adds the old paths with weights that the rows allow, and returns what is left of each
// row's capacity.
func (s *Set) keepPaths(old []weightedPath) []float64 {
	coefficients := make([][]coefficient, len(old))
	load := make([]float64, len(s.rows.list))
	for i, p := range old {
		coefficients[i] = s.graph.coefficients(s.rows, p.legs)
		for _, part := range coefficients[i] {
			load[part.row] += part.amount * p.weight
		}
	}
	residual := make([]float64, len(load))
	for i, limit := range s.rows.list {
		residual[i] = limit.capacity
	}
	for i, p := range old {
		if !s.graph.hasMembers(p.legs) {
			continue
		}
		for _, part := range coefficients[i] {
			p.weight = min(p.weight, old[i].weight*s.rows.list[part.row].capacity/load[part.row])
		}
		s.add(p, coefficients[i], residual)
	}
	return residual
}

// hasMembers reports whether each group has a member for each of its legs.
func (g *graph) hasMembers(legs path) bool {
	for _, l := range legs {
		if legs.uses(l.group) > g.memberCount(l.group) {
			return false
		}
	}
	return true
}

// add adds a path and subtracts what it uses from the residual capacities.
func (s *Set) add(p weightedPath, coefficients []coefficient, residual []float64) {
	s.paths = append(s.paths, p)
	for _, part := range coefficients {
		residual[part.row] -= part.amount * p.weight
	}
}

// addPaths adds paths over the rows with the most residual capacity.
func (s *Set) addPaths(residual []float64) {
	pathSearch := newSearch(s.graph)
	allowed := make([]bool, len(s.graph.groups))
	price := make([]float64, len(residual))
	for range maxAddedPaths {
		s.priceResidual(residual, price, allowed)
		legs, _, ok := pathSearch.run(s.graph.whole(), s.graph.rowPrices(s.rows, price), allowed)
		if !ok {
			return
		}
		legs = s.graph.mergeRevisits(legs, s.graph.memberCount)
		coefficients := s.graph.coefficients(s.rows, legs)
		weight := math.Inf(1)
		for _, part := range coefficients {
			weight = min(weight, residual[part.row]/part.amount)
		}
		if weight <= minResidual*s.Bound {
			return
		}
		s.add(weightedPath{legs: legs, weight: weight}, coefficients, residual)
	}
}

// priceResidual sets high prices for rows with little residual capacity, and excludes the groups
// that are used up.
func (s *Set) priceResidual(residual, price []float64, allowed []bool) {
	for i, limit := range s.rows.list {
		left := 0.0
		if limit.capacity > 0 {
			left = max(0, residual[i]/limit.capacity)
		}
		price[i] = 1 / (left*left + priceDamping*priceDamping) / max(limit.capacity, math.SmallestNonzeroFloat64)
		if i < len(allowed) {
			allowed[i] = left > minResidual
		}
	}
}
