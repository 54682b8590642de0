package plan

import "slices"

// Compute returns plans for the input's model with weights whose sum approaches the bound. It
// returns a *GapError if some layer has no usable target.
func Compute(in Input) (*Set, error) {
	g, err := newGraph(in)
	if err != nil {
		return nil, err
	}
	s := newSolver(g)
	s.solve()
	set := &Set{Bound: s.bound * s.unit, graph: g, rows: s.rows, price: slices.Clone(s.perUnit(s.boundPrices))}
	for _, c := range s.lp.columns() {
		set.paths = append(set.paths, weightedPath{legs: c.legs, weight: c.weight * s.unit})
	}
	return set.Expanded(), nil
}
