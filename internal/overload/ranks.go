package overload

import (
	"cmp"
	"slices"
)

// Priority orders the requests of a service. Lower numbers are more urgent.
type Priority struct {
	// Workspace is the priority of the request's workspace, or else Profile. It goes before Profile.
	Workspace int
	// Profile is the priority of the request's profile.
	Profile int
}

func compare(a, b Priority) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Profile, b.Profile))
}

// Ranks are the different priorities of the requests of one service, the most urgent one first.
type Ranks []Priority

// NewRanks returns the ranks of the given priorities.
func NewRanks(priorities []Priority) Ranks {
	sorted := slices.Clone(priorities)
	slices.SortFunc(sorted, compare)
	return slices.Compact(sorted)
}

// Of returns the class of a request in time with the given priority. One that is not among the ranks
// takes the place of the next less urgent one, or the last place. With less than two ranks the class is
// the zero value.
func (r Ranks) Of(priority Priority) Class {
	if len(r) < 2 {
		return Class{}
	}
	rank, _ := slices.BinarySearchFunc(r, priority, compare)
	return Class{Rank: min(rank, len(r)-1), Ranks: len(r)}
}
