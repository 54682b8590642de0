package plan

// leg is a group's part of a path, from one layer to another.
type leg struct {
	group    int
	from, to int
}
