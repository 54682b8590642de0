package layers

import "geraniumcroft/internal/config"

const (
	// worthMoving is by how much a move must lessen the shortage for a card that holds
	// layers already. Its present layers serve nobody new once it is ordered, and the
	// load takes from the source that all loads share.
	worthMoving = 0.15
	// movesAtOnce bounds the moves of one look at a group; the next look sees what they
	// have brought.
	movesAtOnce = 3
)

// improve moves cards of a group that holds layers, one after another, each to where
// it lessens the shortage most. A card that joined or doubles others goes into a hole;
// where there is none, the neighbours of the hole widen.
func improve(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	c := newCoverage(spec)
	for _, r := range group {
		placed[r.ID] = r.Held
		c.add(spec.kind(r.Kind), r.Held, 1)
	}
	moves := 0
	for moves < movesAtOnce {
		i, held, fresh := bestMove(spec, group, placed, c)
		if i < 0 {
			return
		}
		k := spec.kind(group[i].Kind)
		c.add(k, placed[group[i].ID], -1)
		c.add(k, held, 1)
		placed[group[i].ID] = held
		if !fresh {
			moves++
		}
	}
}

// bestMove returns the card whose move lessens the shortage most, -1 if none is worth
// its load, and whether that card holds nothing yet.
func bestMove(spec *Spec, group []Replica, placed map[string]config.LayerRange, c *coverage) (int, config.LayerRange, bool) {
	now := c.shortage()
	best, bestHeld, bestGain, bestFresh := -1, config.LayerRange{}, 0.0, false
	for i, r := range group {
		k := spec.kind(r.Kind)
		held := placed[r.ID]
		c.add(k, held, -1)
		to, left := c.best(k)
		c.add(k, held, 1)
		fresh := held.Len() == 0
		gain := now - left
		if to.Len() == 0 || to == held || !fresh && gain < worthMoving*now {
			continue
		}
		if gain > bestGain {
			best, bestHeld, bestGain, bestFresh = i, to, gain, fresh
		}
	}
	return best, bestHeld, bestFresh
}
