package plan

// coefficient is what one token per second on a path uses of a row.
type coefficient struct {
	row    int
	amount float64
}
