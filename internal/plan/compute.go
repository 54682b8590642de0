package plan

// Compute weighs plans for the input's model towards the bound. It returns a
// *GapError when some layer has no usable target.
func Compute(in Input) (*Set, error) {
	g, err := newGraph(in)
	if err != nil {
		return nil, err
	}
	s := newSolver(g)
	s.solve()
	set := &Set{Bound: s.bound * s.unit, graph: g, rows: s.rows, price: s.unitPrices()}
	for _, c := range s.lp.columns() {
		set.paths = append(set.paths, weightedPath{legs: c.legs, weight: c.weight * s.unit})
	}
	set.Plans = g.expand(set.paths)
	return set, nil
}

// unitPrices returns the prices that prove the bound, for one unit of capacity.
func (s *solver) unitPrices() []float64 {
	price := make([]float64, len(s.proof))
	for i, p := range s.proof {
		price[i] = p * s.unit / s.rows.list[i].capacity
	}
	return price
}
