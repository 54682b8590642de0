package plan

// Set holds the weighted plans of one model, version and adapter. It is immutable.
type Set struct {
	// Plans are the weighted plans over single targets. They are nil in a set from Without, because
	// a Chooser does not need them; Expanded sets them.
	Plans []Plan
	// Bound is an upper bound of the tokens per second that any weights of plans can reach.
	Bound float64

	graph *graph
	paths []weightedPath
	// price is the price of one unit of each row's capacity, in tokens per second. At these prices
	// every path costs at least 1, which proves the bound.
	rows  *rows
	price []float64
}

// Throughput returns the sum of the plans' weights in tokens per second.
func (s *Set) Throughput() float64 {
	total := 0.0
	for _, p := range s.paths {
		total += p.weight
	}
	return total
}

// Expanded returns the set with Plans set.
func (s *Set) Expanded() *Set {
	expanded := *s
	expanded.Plans = s.graph.expand(s.paths)
	return &expanded
}
