package plan

// span is the range of cuts that a path has to cover, and the groups of the stages before and after
// it, or noGroup.
type span struct {
	from, to      int
	before, after int
}
