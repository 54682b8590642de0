package plan

import "geraniumcroft/internal/config"

// expandedLeg is a leg and how far its members have got their shares.
type expandedLeg struct {
	layers  config.LayerRange
	members []*config.Target
	// turn counts the members that have their share; offset shifts them all.
	turn, offset int
	// end is where the present member's share ends, as a part of the path.
	end float64
}

func (l *expandedLeg) member() *config.Target {
	at := l.turn + l.offset
	if at >= len(l.members) {
		at -= len(l.members)
	}
	return l.members[at]
}

func (l *expandedLeg) advance() {
	l.turn++
	l.end = float64(l.turn+1) / float64(len(l.members))
}
