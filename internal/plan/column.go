package plan

// column is a path as the programme sees it.
type column struct {
	legs path
	// shares are in parts of the rows' capacities.
	shares []share
	weight float64
}
