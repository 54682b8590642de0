package layers

import (
	"maps"
	"slices"

	"geraniumcroft/internal/config"
)

// What a way to close a hole is worth against one that works in the second that a load
// takes. Holes last seconds at most, so a way that takes longer has to carry clearly more;
// the figures are guesses and were not varied.
const (
	// laterValue is what a hole that is closed after some seconds is worth against one that
	// is closed in a second: cards that double others take new layers only when the requests
	// that pass through them have ended.
	laterValue = 0.7
	// busyValue is the same for cards that hold nothing and still wait for requests to end.
	busyValue = 0.75
	// joiningValue is the same for cards that joined a moment ago. Most replace one that is
	// about to leave, and are wanted for its layers then.
	joiningValue = 0.8
)

// holes lists the layers that nobody holds.
func (c *coverage) holes() []config.LayerRange {
	var holes []config.LayerRange
	for l := 0; l < c.spec.Layers; l++ {
		if c.room[l] >= uncovered {
			continue
		}
		if n := len(holes); n > 0 && holes[n-1].To == l {
			holes[n-1].To++
			continue
		}
		holes = append(holes, config.LayerRange{From: l, To: l + 1})
	}
	return holes
}

// closeHoles closes the group's holes and reports whether none is left.
func (r *revision) closeHoles() bool {
	for {
		holes := r.c.holes()
		if len(holes) == 0 {
			return true
		}
		best := r.bestClosing(holes[0], holes[1:])
		if best.value == 0 {
			return false
		}
		for _, ch := range best.changes {
			r.change(ch.card, ch.to)
		}
	}
}

// closing is a way to close a hole.
type closing struct {
	changes []change
	value   float64
}

// bestClosing returns the way that lets the group carry the most: by cards that hold
// nothing, one or several, by those that only double others, or by the neighbours.
func (r *revision) bestClosing(hole config.LayerRange, others []config.LayerRange) closing {
	var best closing
	consider := func(changes []change, factor float64) {
		if len(changes) == 0 {
			return
		}
		if value := factor * newJudged(r.spec, r.group, r.after(changes), others).meritOver(best.value/factor); value > best.value {
			best = closing{changes: changes, value: value}
		}
	}
	empty := r.empty()
	idle := without(empty, isBusy)
	settled := without(idle, isJoining)
	for _, option := range []struct {
		cards  []Replica
		factor float64
	}{{settled, 1}, {idle, joiningValue}, {empty, busyValue}, {append(r.doubling(), settled...), laterValue}} {
		for _, cards := range choices(option.cards) {
			consider(r.fillWith(hole, cards), option.factor)
		}
	}
	for _, card := range firstOfEachKind(settled) {
		r.largerLoads(hole, card, 1, consider)
	}
	for _, card := range firstOfEachKind(idle) {
		r.largerLoads(hole, card, joiningValue, consider)
	}
	r.widenings(hole, consider)
	return best
}

// choices lists which cards may close a hole together: all, the first or the last ones
// first, or those of one kind.
func choices(cards []Replica) [][]Replica {
	backwards := slices.Clone(cards)
	slices.Reverse(backwards)
	all := [][]Replica{cards, backwards}
	byKind := map[string][]Replica{}
	for _, card := range cards {
		byKind[card.Kind] = append(byKind[card.Kind], card)
	}
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		all = append(all, byKind[kind])
	}
	return all
}

func firstOfEachKind(cards []Replica) []Replica {
	var first []Replica
	for _, card := range cards {
		if !slices.ContainsFunc(first, func(f Replica) bool { return f.Kind == card.Kind }) {
			first = append(first, card)
		}
	}
	return first
}

// fillWith divides the hole among the cards so that they have like room.
func (r *revision) fillWith(hole config.LayerRange, cards []Replica) []change {
	kinds := make([]Kind, len(cards))
	for i, card := range cards {
		kinds[i] = r.spec.kind(card.Kind)
	}
	var changes []change
	for i, to := range newFiller(r.c, kinds, r.c.usualRoom()).lay(hole) {
		if to.Len() > 0 {
			changes = append(changes, change{card: cards[i], to: to})
		}
	}
	return changes
}

// largerLoads considers ranges for one card that hold the hole and what slower cards hold
// beside it, which become spares.
func (r *revision) largerLoads(hole config.LayerRange, card Replica, factor float64, consider func([]change, float64)) {
	for _, to := range r.loadable(r.spec.kind(card.Kind)) {
		if to.Contains(hole) {
			consider([]change{{card: card, to: to}}, factor)
		}
	}
}

// widenings considers that the hole is divided between its neighbours.
func (r *revision) widenings(hole config.LayerRange, consider func([]change, float64)) {
	for _, before := range r.endingAt(hole.From) {
		r.widen(before, config.LayerRange{From: r.placed[before.ID].From, To: hole.To}, consider)
	}
	for _, after := range r.beginningAt(hole.To) {
		r.widen(after, config.LayerRange{From: hole.From, To: r.placed[after.ID].To}, consider)
	}
	for _, before := range r.endingAt(hole.From) {
		for _, after := range r.beginningAt(hole.To) {
			for cut := hole.From + 1; cut < hole.To; cut++ {
				r.widenBoth(before, after, cut, consider)
			}
		}
	}
}

func (r *revision) widen(card Replica, to config.LayerRange, consider func([]change, float64)) {
	if r.fits(card, to) {
		consider([]change{{card: card, to: to}}, 1)
	}
}

func (r *revision) widenBoth(before, after Replica, cut int, consider func([]change, float64)) {
	low := config.LayerRange{From: r.placed[before.ID].From, To: cut}
	high := config.LayerRange{From: cut, To: r.placed[after.ID].To}
	if r.fits(before, low) && r.fits(after, high) {
		consider([]change{{card: before, to: low}, {card: after, to: high}}, 1)
	}
}

// fits reports whether a card has room for a few requests beside a range.
func (r *revision) fits(card Replica, to config.LayerRange) bool {
	return !card.Loading && !card.Busy && r.c.requests(r.spec.kind(card.Kind), to.Len()) >= leastRoom
}

func (r *revision) endingAt(layer int) []Replica {
	return r.holdersWith(func(held config.LayerRange) bool { return held.To == layer })
}

func (r *revision) beginningAt(layer int) []Replica {
	return r.holdersWith(func(held config.LayerRange) bool { return held.From == layer })
}

func (r *revision) holdersWith(is func(config.LayerRange) bool) []Replica {
	var cards []Replica
	for _, card := range r.group {
		if held := r.placed[card.ID]; held.Len() > 0 && is(held) {
			cards = append(cards, card)
		}
	}
	return cards
}

// doubling lists cards that the group can do without together, slow ones first.
func (r *revision) doubling() []Replica {
	settled := slices.Clone(r.settled)
	var cards []Replica
	for i := len(r.group) - 1; i >= 0; i-- {
		card := r.group[i]
		held := r.placed[card.ID]
		if held.Len() > 0 && !card.Loading && !card.Busy && settled.spares(held, config.LayerRange{}) {
			settled.add(held, -1)
			cards = append(cards, card)
		}
	}
	return cards
}
