package plan

// edge is the way from one engine to another.
type edge struct {
	latency float64 // seconds
	// capacity is in tokens a second, +Inf when unbounded.
	capacity float64
}
