package plan

import "geraniumcroft/internal/config"

// group is engines that are alike in range, rate, data centre and links, so
// that one plan for the group stands for a plan for each of its members.
type group struct {
	members []*config.Target
	// from and to index the graph's cuts.
	from, to int
	rate     float64
	zone     int
	// named says that links name the group's only member.
	named bool
	// toZone is indexed by zone; toGroup holds links to named targets.
	toZone  []edge
	toGroup map[int]edge
}
