package plan

// row is a constraint of the linear program: the rate of a group of engines or the bandwidth of
// a link limits the weights of the paths that use it.
type row struct {
	// capacity is in layers times tokens per second for a group, and in tokens per second for a
	// link.
	capacity float64
}
