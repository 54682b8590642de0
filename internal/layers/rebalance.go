package layers

import (
	"math"

	"geraniumcroft/internal/config"
)

const (
	// minMoveGain is by how much a move must lessen the shortage for a card that holds
	// layers already. Its present layers serve nobody new once it is ordered, and the
	// load takes from the source that all loads share.
	minMoveGain = 0.15
	// minNarrowGain is the same for a card that gives layers up which others hold. It
	// loads nothing and serves its other layers on, so a small gain is enough; at 0.15 a
	// data centre of 14 cards whose h100 came back kept room for 59 requests in place of 192.
	minNarrowGain = 0.01
	// narrowBelowRoom is the room, in usual requests, below which a card may give layers up to
	// others, as after it widened over a dead neighbour's. Above it a layer stays where it
	// is: others may be slower by ten times, and more room there would serve nobody. 120
	// is the room that was best for the fast cards of 13.
	narrowBelowRoom = 120
	// nearBestGain is the part of the best move's gain from which a cheaper card is moved
	// instead.
	nearBestGain = 0.8
	// relocationCostFactor multiplies the cost of a move that gives layers up. The card takes
	// nothing new for them and loads the others only when all streams that pass through
	// it have ended, which takes seconds; a card that only widens goes on as before.
	relocationCostFactor = 1000
	// maxMovesPerPass bounds the moves of one look at a group; the next look sees what they
	// have brought.
	maxMovesPerPass = 3
)

// move is a card's change of layers.
type move struct {
	card int
	to   config.LayerRange
	// shortage is the shortage after it, gain by how much that is less.
	shortage float64
	gain     float64
	// minGain is the part of the shortage that it has to lessen.
	minGain float64
	// cost is what is lost while the card moves, nothing for one that is empty.
	cost float64
}

// rebalance moves cards of a group that holds layers, one after another, each to where
// it lessens the shortage most. A card that joined or doubles others goes into a hole;
// where there is none, the neighbours of the hole widen.
func rebalance(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	c := newCoverage(spec)
	for _, r := range group {
		placed[r.ID] = r.Held
		c.add(spec.kind(r.Kind), r.Held, 1)
	}
	settled := reportedHolders(spec, group)
	for moves := 0; moves < maxMovesPerPass; {
		m, ok := chooseMove(worthwhileMoves(spec, group, placed, c, settled))
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

// worthwhileMoves lists the moves that are worth their load.
func worthwhileMoves(spec *Spec, group []Replica, placed map[string]config.LayerRange, c *coverage, settled holderCounts) []move {
	now := c.shortage()
	var moves []move
	for i, r := range group {
		switch held := placed[r.ID]; {
		case held.Len() == 0:
			to, left := c.bestRange(spec.kind(r.Kind))
			if part, leftPart := bestTakeover(spec, group, placed, c, r); part.Len() > 0 && leftPart < left {
				to, left = part, leftPart
			}
			if to.Len() > 0 && now > left && (!r.Joining || c.hasGap(to)) {
				moves = append(moves, move{card: i, to: to, gain: now - left})
			}
		case !r.Loading:
			for _, m := range movesOfCard(spec, r, held, c, settled) {
				m.card, m.gain = i, now-m.shortage
				if m.gain >= m.minGain*now {
					moves = append(moves, m)
				}
			}
		}
	}
	return moves
}

// movesOfCard lists the changes of a card that holds layers.
func movesOfCard(spec *Spec, r Replica, held config.LayerRange, c *coverage, settled holderCounts) []move {
	k := spec.kind(r.Kind)
	c.add(k, held, -1)
	defer c.add(k, held, 1)
	cost := k.MemoryMB / max(1, k.StepTimeFactor)
	var moves []move
	if to, left := c.bestWider(k, held); to != held {
		moves = append(moves, move{to: to, shortage: left, minGain: minMoveGain, cost: cost})
	}
	if to, left := c.bestNarrower(k, held); to != held && c.requests(k, held.Len()) < narrowBelowRoom && settled.canSpare(held, to) {
		moves = append(moves, move{to: to, shortage: left, minGain: minNarrowGain, cost: cost})
	}
	if to, left := c.bestRange(k); to != held && c.hasGap(to) && settled.canSpare(held, to) {
		moves = append(moves, move{to: to, shortage: left, minGain: minMoveGain, cost: cost * relocationCostFactor})
	}
	return moves
}

// bestTakeover returns the part of another card's range that is best taken over by an empty
// card, and the shortage once the other one has narrowed to the rest. A card that widened
// over a dead neighbour's layers has little room; an empty card that only doubled what
// has the least room would leave it so for good.
func bestTakeover(spec *Spec, group []Replica, placed map[string]config.LayerRange, c *coverage, empty Replica) (config.LayerRange, float64) {
	k := spec.kind(empty.Kind)
	var best config.LayerRange
	least := math.Inf(1)
	for _, other := range group {
		held := placed[other.ID]
		holder := spec.kind(other.Kind)
		if other.Loading || held.Len() < 2 || c.requests(holder, held.Len()) >= narrowBelowRoom {
			continue
		}
		c.add(holder, held, -1)
		for cut := held.From + 1; cut < held.To; cut++ {
			low, high := config.LayerRange{From: held.From, To: cut}, config.LayerRange{From: cut, To: held.To}
			for _, split := range [][2]config.LayerRange{{low, high}, {high, low}} {
				part, rest := split[0], split[1]
				if c.requests(k, part.Len()) < 1 {
					continue
				}
				c.add(k, part, 1)
				c.add(holder, rest, 1)
				if left := c.shortage(); left < least {
					best, least = part, left
				}
				c.add(holder, rest, -1)
				c.add(k, part, -1)
			}
		}
		c.add(holder, held, 1)
	}
	return best, least
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
		if m.gain < nearBestGain*best {
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

func reportedHolders(spec *Spec, group []Replica) holderCounts {
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

// canSpare reports whether the group can do without the layers that a card gives up.
// What is still being loaded does not count: the layers would be nobody's until then.
func (h holderCounts) canSpare(from, to config.LayerRange) bool {
	for l := max(0, from.From); l < min(from.To, len(h)); l++ {
		kept := l >= to.From && l < to.To
		if !kept && h[l] < 2 {
			return false
		}
	}
	return true
}
