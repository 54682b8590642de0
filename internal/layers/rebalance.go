package layers

import (
	"math"
	"slices"

	"geraniumcroft/internal/config"
)

const (
	// minMoveGain is the fraction of the shortage that a move must remove for a card that
	// already holds layers. Once the move is ordered its present layers take no new
	// requests, and all loads share one source of weights.
	minMoveGain = 0.15
	// minNarrowGain is the same for a card that only releases layers which others hold. It
	// loads nothing and continues to serve its other layers, so a small gain is enough. At
	// 0.15 a data centre of 14 cards whose h100 recovered kept a capacity of 59 requests
	// in place of 192.
	minNarrowGain = 0.01
	// narrowBelowCapacity is the capacity, in mean requests, below which a card may release
	// layers to others, for instance after it widened over those of a failed neighbour.
	// Above it the layers stay: the other cards may be ten times slower, and more capacity
	// there would serve no requests. 120 is the capacity that was best for the fast cards of a data
	// centre of 13.
	narrowBelowCapacity = 120
	// minBottleneckGain is minMoveGain for a card that widens where the bottleneck counts.
	minBottleneckGain = 0.05
	// nearBestGain is the fraction of the best move's gain from which a cheaper card is
	// moved instead.
	nearBestGain = 0.8
	// relocationCostFactor multiplies the cost of a move that releases layers. The card
	// takes no new requests for them and loads the others only after all streams through it
	// have ended, which takes seconds. A card that only widens continues as before.
	relocationCostFactor = 1000
	// maxMovesPerPass limits the moves of cards that hold layers in one call for a group.
	// The next call sees their effect.
	maxMovesPerPass = 3
)

// minWidenGain returns the fraction of the shortage that a card must remove by widening. A card that widens
// continues to serve its layers, so where the bottleneck counts a small gain is enough.
func (s *Spec) minWidenGain() float64 {
	if s.PlaceForBottleneck {
		return minBottleneckGain
	}
	return minMoveGain
}

// move is a change of the layers of a card.
type move struct {
	card int
	to   config.LayerRange
	// remaining is the shortage after the move, gain is by how much it decreases.
	remaining float64
	gain      float64
	// minGain is the fraction of the present shortage that the move must remove.
	minGain float64
	// cost estimates what is lost while the card moves, 0 for one that holds nothing.
	cost float64
}

// rebalance moves cards of a group that holds layers, one after another, each to where it
// reduces the shortage most. A gap is closed by a card that has just joined or whose layers
// have other holders. Without such a card, the neighbours of the gap widen.
func rebalance(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	c := newCoverage(spec)
	for _, r := range group {
		placed[r.ID] = r.Held
		c.add(spec.kind(r.Kind), r.Held, 1)
	}
	reported := reportedHolders(spec, group)
	for moves := 0; moves < maxMovesPerPass; {
		m, ok := chooseMove(worthwhileMoves(spec, group, placed, c, reported))
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
			reported.add(before, -1)
			moves++
		}
	}
}

// worthwhileMoves returns the moves whose gain is worth the load.
func worthwhileMoves(spec *Spec, group []Replica, placed map[string]config.LayerRange, c *coverage, reported holderCounts) []move {
	now := c.shortage()
	var moves []move
	for i, r := range group {
		switch held := placed[r.ID]; {
		case held.Len() == 0:
			to, remaining := c.bestRange(spec.kind(r.Kind))
			if part, remainingPart := bestTakeover(spec, group, placed, c, r); part.Len() > 0 && remainingPart < remaining {
				to, remaining = part, remainingPart
			}
			if to.Len() > 0 && now > remaining && (!r.Joining || c.hasGap(to)) {
				moves = append(moves, move{card: i, to: to, gain: now - remaining})
			}
		case !r.Loading:
			for _, m := range movesOfCard(spec, r, held, c, reported) {
				m.card, m.gain = i, now-m.remaining
				if m.gain >= m.minGain*now && !(spec.PlaceForBottleneck && lowersLeast(c, spec.kind(r.Kind), held, m.to)) {
					moves = append(moves, m)
				}
			}
		}
	}
	return moves
}

// lowersLeast reports whether the layer with the least capacity has less after a card has moved.
func lowersLeast(c *coverage, k Accelerator, held, to config.LayerRange) bool {
	before := slices.Min(c.capacity)
	c.add(k, held, -1)
	c.add(k, to, 1)
	after := slices.Min(c.capacity)
	c.add(k, to, -1)
	c.add(k, held, 1)
	return after < before-uncoveredCapacity
}

// movesOfCard returns the possible moves of a card that holds layers.
func movesOfCard(spec *Spec, r Replica, held config.LayerRange, c *coverage, reported holderCounts) []move {
	k := spec.kind(r.Kind)
	c.add(k, held, -1)
	defer c.add(k, held, 1)
	cost := k.MemoryMB / max(1, k.StepTimeFactor)
	var moves []move
	if to, remaining := c.bestWider(k, held); to != held {
		moves = append(moves, move{to: to, remaining: remaining, minGain: spec.minWidenGain(), cost: cost})
	}
	if to, remaining := c.bestNarrower(k, held); to != held && c.requests(k, held.Len()) < narrowBelowCapacity && reported.canSpare(held, to) {
		moves = append(moves, move{to: to, remaining: remaining, minGain: minNarrowGain, cost: cost})
	}
	if to, remaining := c.bestRange(k); to != held && c.hasGap(to) && reported.canSpare(held, to) {
		moves = append(moves, move{to: to, remaining: remaining, minGain: minMoveGain, cost: cost * relocationCostFactor})
	}
	return moves
}

// bestTakeover returns the part of another card's range that an empty card best takes over,
// and the shortage once the other card has narrowed to the rest. A card that widened over
// the layers of a failed neighbour has little capacity left. An empty card that merely
// became a second holder of the layers with the least capacity would leave it so for good.
func bestTakeover(spec *Spec, group []Replica, placed map[string]config.LayerRange, c *coverage, empty Replica) (config.LayerRange, float64) {
	k := spec.kind(empty.Kind)
	var best config.LayerRange
	least := math.Inf(1)
	for _, other := range group {
		held := placed[other.ID]
		holder := spec.kind(other.Kind)
		if other.Loading || held.Len() < 2 || c.requests(holder, held.Len()) >= narrowBelowCapacity {
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
				if remaining := c.shortage(); remaining < least {
					best, least = part, remaining
				}
				c.add(holder, rest, -1)
				c.add(k, part, -1)
			}
		}
		c.add(holder, held, 1)
	}
	return best, least
}

// chooseMove returns the cheapest of the moves whose gain is close to the best. The card
// with the most memory and the fastest steps often has the highest gain, but all requests
// on it would have to go elsewhere. The second result is false if there are no moves.
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

// reportedHolders counts the holders of each layer, without cards that are still loading.
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

// canSpare reports whether each layer that a card releases has another holder. Layers that
// are still being loaded do not count: until they are loaded no replica would hold them.
func (h holderCounts) canSpare(from, to config.LayerRange) bool {
	for l := max(0, from.From); l < min(from.To, len(h)); l++ {
		kept := l >= to.From && l < to.To
		if !kept && h[l] < 2 {
			return false
		}
	}
	return true
}
