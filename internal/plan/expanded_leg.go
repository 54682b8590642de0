package plan

import "geraniumcroft/internal/config"

// expandedLeg is a leg and the member that the current piece of its path uses.
type expandedLeg struct {
	layers  config.LayerRange
	members []*config.Target
	// index is the number of members that already have their share. The current member is index
	// plus offset, modulo the number of members.
	index, offset int
	// end is where the current member's share ends, as a fraction of the path.
	end float64
}

func (l *expandedLeg) member() *config.Target {
	at := l.index + l.offset
	if at >= len(l.members) {
		at -= len(l.members)
	}
	return l.members[at]
}

func (l *expandedLeg) advance() {
	l.index++
	l.end = float64(l.index+1) / float64(len(l.members))
}
