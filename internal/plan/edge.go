package plan

// edge is the link from one engine to another.
type edge struct {
	latency float64 // seconds
	// capacity is in tokens per second, +Inf if unbounded.
	capacity float64
}
