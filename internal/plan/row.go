package plan

// row is one limit on the plans' weights: an engine group's rate or a link's
// bandwidth.
type row struct {
	// capacity is in layers times tokens a second for a group, and in tokens a
	// second for a link.
	capacity float64
}
