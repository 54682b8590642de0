package plan

// span is what a path has to cover, and what it is joined to: the groups of the
// stage before and the stage after, or noGroup.
type span struct {
	from, to      int
	before, after int
}
