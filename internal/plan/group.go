package plan

import "geraniumcroft/internal/config"

// group is the engines with the same range, rate, data centre, accelerator and links, so that one
// plan for the group represents a plan for each of its members.
type group struct {
	members []*config.Target
	// from and to are indices of the graph's cuts.
	from, to int
	// rate is that of one member, in layers times tokens per second.
	rate float64
	// centre is the index of the data centre.
	centre int
	// linkTarget says that links name the group's only member.
	linkTarget bool
	// toCentre is indexed by data centre; toGroup holds the links that name a target, by group.
	toCentre []edge
	toGroup  map[int]edge
}
