package plan

import "slices"

// Compute weighs plans for the input's model towards the bound. It returns a
// *GapError when some layer has no usable target.
func Compute(in Input) (*Set, error) {
	g, err := newGraph(in)
	if err != nil {
		return nil, err
	}
	s := newSolver(g)
	s.solve()
	set := &Set{Bound: s.bound * s.unit, graph: g, rows: s.rows, price: slices.Clone(s.perUnit(s.proof))}
	for _, c := range s.lp.columns() {
		set.paths = append(set.paths, weightedPath{legs: c.legs, weight: c.weight * s.unit})
	}
	return set.Expanded(), nil
}
