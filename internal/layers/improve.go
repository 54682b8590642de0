package layers

import "geraniumcroft/internal/config"

const (
	// worthMoving is by how much a move must lessen the shortage for a card that holds
	// layers already. Its present layers serve nobody new once it is ordered, and the
	// load takes from the source that all loads share.
	worthMoving = 0.15
	// nearlyBest is the part of the best move's gain from which a cheaper card is moved
	// instead.
	nearlyBest = 0.8
	// leavingCost multiplies the cost of a move that gives layers up. The card takes
	// nothing new for them and loads the others only when all streams that pass through
	// it have ended, which takes seconds; a card that only widens goes on as before.
	leavingCost = 1000
	// movesAtOnce bounds the moves of one look at a group; the next look sees what they
	// have brought.
	movesAtOnce = 3
)

// move is a card's change of layers.
type move struct {
	card int
	to   config.LayerRange
	// gain is by how much it lessens the shortage.
	gain float64
	// cost is what is lost while the card moves, nothing for one that is empty.
	cost float64
}

// improve moves cards of a group that holds layers, one after another, each to where
// it lessens the shortage most. A card that joined or doubles others goes into a hole;
// where there is none, the neighbours of the hole widen.
func improve(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	c := newCoverage(spec)
	for _, r := range group {
		placed[r.ID] = r.Held
		c.add(spec.kind(r.Kind), r.Held, 1)
	}
	settled := settledHolders(spec, group)
	for moves := 0; moves < movesAtOnce; {
		m, ok := chooseMove(movesOf(spec, group, placed, c, settled))
		if !ok {
			return
		}
		r := group[m.card]
		k := spec.kind(r.Kind)
		before := placed[r.ID]
		c.add(k, before, -1)
		c.add(k, m.to, 1)
		placed[r.ID] = m.to
		if before.Len() > 0 {
			settled.add(before, -1)
			moves++
		}
	}
}

// movesOf lists the moves that are worth their load.
func movesOf(spec *Spec, group []Replica, placed map[string]config.LayerRange, c *coverage, settled holderCounts) []move {
	now := c.shortage()
	var moves []move
	for i, r := range group {
		k := spec.kind(r.Kind)
		held := placed[r.ID]
		c.add(k, held, -1)
		to, left := c.best(k)
		wider, leftWider := c.bestWithin(k, held)
		c.add(k, held, 1)
		switch {
		case held.Len() == 0:
			if to.Len() > 0 && now > left && (!r.Joining || c.hasHole(to)) {
				moves = append(moves, move{card: i, to: to, gain: now - left})
			}
		case r.Loading:
		default:
			cost := k.MemoryMB / max(1, k.StepPace)
			if gain := now - leftWider; wider != held && gain >= worthMoving*now {
				moves = append(moves, move{card: i, to: wider, gain: gain, cost: cost})
			}
			if gain := now - left; to != held && c.hasHole(to) && gain >= worthMoving*now && settled.spares(held, to) {
				moves = append(moves, move{card: i, to: to, gain: gain, cost: cost * leavingCost})
			}
		}
	}
	return moves
}

// chooseMove returns the cheapest of the moves that gain nearly as much as the best
// one. The card with the most memory and the fastest steps would often gain most, and
// all that runs through it would have to go elsewhere.
func chooseMove(moves []move) (move, bool) {
	best := 0.0
	for _, m := range moves {
		best = max(best, m.gain)
	}
	var chosen move
	found := false
	for _, m := range moves {
		if m.gain < nearlyBest*best {
			continue
		}
		if !found || m.cost < chosen.cost || m.cost == chosen.cost && m.gain > chosen.gain {
			chosen, found = m, true
		}
	}
	return chosen, found
}

// holderCounts counts, for each layer, the cards of a group that report it.
type holderCounts []int

func settledHolders(spec *Spec, group []Replica) holderCounts {
	counts := make(holderCounts, spec.Layers)
	for _, r := range group {
		if !r.Loading {
			counts.add(r.Held, 1)
		}
	}
	return counts
}

func (h holderCounts) add(held config.LayerRange, n int) {
	for l := max(0, held.From); l < min(held.To, len(h)); l++ {
		h[l] += n
	}
}

// spares reports whether the group can do without the layers that a card gives up.
// What is still being loaded does not count: the layers would be nobody's until then.
func (h holderCounts) spares(from, to config.LayerRange) bool {
	for l := max(0, from.From); l < min(from.To, len(h)); l++ {
		kept := l >= to.From && l < to.To
		if !kept && h[l] < 2 {
			return false
		}
	}
	return true
}
