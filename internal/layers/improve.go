package layers

import (
	"slices"

	"geraniumcroft/internal/config"
)

const (
	// worthMoving is by how much a move must lessen the shortage for a card that holds
	// layers already. Its present layers serve nobody new once it is ordered, and the
	// load takes from the source that all loads share.
	worthMoving = 0.15
	// worthNarrowing is the same for a card that gives layers up which others hold. It
	// loads nothing and serves its other layers on, so a small gain is enough; at 0.15 a
	// data centre of 14 cards whose h100 came back kept room for 59 requests in place of 192.
	worthNarrowing = 0.01
	// crowded is the room, in usual requests, below which a card may give layers up to
	// others, as after it widened over a dead neighbour's. Above it a layer stays where it
	// is: others may be slower by ten times, and more room there would serve nobody. 120
	// is the room that was best for the fast cards of 13.
	crowded = 120
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
	// left is the shortage after it, gain by how much that is less.
	left float64
	gain float64
	// worth is the part of the shortage that it has to lessen.
	worth float64
	// cost is what is lost while the card moves, nothing for one that is empty.
	cost float64
}

// improve changes the layers of a group's cards. First every hole is closed: by cards that
// hold nothing, else by cards whose layers others hold as well, else by the neighbours.
// Where there is no hole single changes are made that let the group carry more.
func improve(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	r := newRevision(spec, group, placed)
	if r.closeHoles() {
		r.better()
		return
	}
	r.lessenShortage()
}

// revision is a group's placement while it is being changed.
type revision struct {
	spec   *Spec
	group  []Replica
	placed map[string]config.LayerRange
	c      *coverage
	// settled counts the cards that report a layer, without those that are to give it up.
	settled holderCounts
	// moves counts the cards that held layers before and were changed.
	moves int
}

func newRevision(spec *Spec, group []Replica, placed map[string]config.LayerRange) *revision {
	r := &revision{spec: spec, group: group, placed: placed, c: newCoverage(spec), settled: settledHolders(spec, group)}
	for _, card := range group {
		placed[card.ID] = card.Held
		r.c.add(spec.kind(card.Kind), card.Held, 1)
	}
	return r
}

// change gives a card another range.
func (r *revision) change(card Replica, to config.LayerRange) {
	k := r.spec.kind(card.Kind)
	before := r.placed[card.ID]
	r.c.add(k, before, -1)
	r.c.add(k, to, 1)
	r.placed[card.ID] = to
	if before.Len() > 0 {
		r.settled.add(before, -1)
		r.moves++
	}
}

// empty lists the cards that hold nothing. One that is to give its layers up in this
// revision is none yet: it takes others only when its requests have ended.
func (r *revision) empty() []Replica {
	var cards []Replica
	for _, card := range r.group {
		if r.placed[card.ID].Len() == 0 && card.Held.Len() == 0 {
			cards = append(cards, card)
		}
	}
	return cards
}

// without returns the cards of which the function does not hold.
func without(cards []Replica, is func(Replica) bool) []Replica {
	return slices.DeleteFunc(slices.Clone(cards), is)
}

func isBusy(card Replica) bool    { return card.Busy }
func isJoining(card Replica) bool { return card.Joining }

// lessenShortage moves cards one after another, each to where it lessens the shortage most.
// It is for groups with holes that cannot be closed whole.
func (r *revision) lessenShortage() {
	for r.moves < movesAtOnce {
		m, ok := chooseMove(movesOf(r.spec, r.group, r.placed, r.c, r.settled))
		if !ok {
			return
		}
		r.change(r.group[m.card], m.to)
	}
}

// movesOf lists the moves that are worth their load.
func movesOf(spec *Spec, group []Replica, placed map[string]config.LayerRange, c *coverage, settled holderCounts) []move {
	now := c.shortage()
	var moves []move
	for i, r := range group {
		switch held := placed[r.ID]; {
		case r.Busy:
		case held.Len() == 0:
			to, left := c.best(spec.kind(r.Kind))
			if to.Len() > 0 && now > left && (!r.Joining || c.hasHole(to)) {
				moves = append(moves, move{card: i, to: to, gain: now - left})
			}
		case !r.Loading:
			for _, m := range movesOfHolder(spec, r, held, c, settled) {
				m.card, m.gain = i, now-m.left
				if m.gain >= m.worth*now {
					moves = append(moves, m)
				}
			}
		}
	}
	return moves
}

// movesOfHolder lists the changes of a card that holds layers.
func movesOfHolder(spec *Spec, r Replica, held config.LayerRange, c *coverage, settled holderCounts) []move {
	k := spec.kind(r.Kind)
	c.add(k, held, -1)
	defer c.add(k, held, 1)
	cost := k.MemoryMB / max(1, k.StepPace)
	var moves []move
	if to, left := c.wider(k, held); to != held {
		moves = append(moves, move{to: to, left: left, worth: worthMoving, cost: cost})
	}
	if to, left := c.narrower(k, held); to != held && c.requests(k, held.Len()) < crowded && settled.spares(held, to) {
		moves = append(moves, move{to: to, left: left, worth: worthNarrowing, cost: cost})
	}
	if to, left := c.best(k); to != held && c.hasHole(to) && settled.spares(held, to) {
		moves = append(moves, move{to: to, left: left, worth: worthMoving, cost: cost * leavingCost})
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
