package plan

import "geraniumcroft/internal/config"

// group is engines that are alike in range, rate, data centre and links, so
// that one plan for the group stands for a plan for each of its members.
type group struct {
	members []*config.Target
	// from and to index the graph's cuts.
	from, to int
	rate     float64
	// centre is the index of the data centre.
	centre int
	// named says that links name the group's only member.
	named bool
	// toCentre is indexed by data centre; toGroup holds links to named targets.
	toCentre []edge
	toGroup  map[int]edge
}
