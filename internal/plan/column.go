package plan

// column is a path as a variable of the linear program.
type column struct {
	legs path
	// coefficients are relative to the capacities of the rows.
	coefficients []coefficient
	weight       float64
}
