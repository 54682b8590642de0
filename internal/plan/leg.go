package plan

// leg is the part of a path that one group serves, from one layer up to another.
type leg struct {
	group    int
	from, to int
}
