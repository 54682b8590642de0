package plan

// share is what one token a second on a path takes of a row.
type share struct {
	row    int
	amount float64
}
