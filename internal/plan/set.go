package plan

// Set is the weighted plans of one model, version and adapter. It is immutable.
type Set struct {
	// Plans are the weighted plans over single targets. A set from Without leaves
	// them out, because a Chooser needs none; Expanded fills them in.
	Plans []Plan
	// Bound is the most tokens a second that any weighting of plans can reach.
	Bound float64

	graph *graph
	paths []weightedPath
	// rows are the limits and price what one unit of each is worth, in tokens a
	// second: at these prices every path costs at least 1, which proves the bound.
	rows  *rows
	price []float64
}

// Throughput returns the sum of the plans' weights in tokens a second.
func (s *Set) Throughput() float64 {
	total := 0.0
	for _, p := range s.paths {
		total += p.weight
	}
	return total
}

// Expanded returns the set with its Plans.
func (s *Set) Expanded() *Set {
	expanded := *s
	expanded.Plans = s.graph.expand(s.paths)
	return &expanded
}
