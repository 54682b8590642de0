package layers

import (
	"maps"
	"slices"

	"geraniumcroft/internal/config"
)

// How much better a change has to be. Both are guesses above the noise of the estimate; the
// tests that play losses hold that changes come to rest with them.
const (
	// worthLoading is by how much more a group has to carry for a card without layers to
	// load some. The load takes from the source that all loads share, and the card is no
	// spare any more.
	worthLoading = 0.03
	// worthGivingUp is the same for a card that gives layers up which others hold. It
	// loads nothing.
	worthGivingUp = 0.01
)

// change is a new range for one card.
type change struct {
	card Replica
	to   config.LayerRange
}

// better makes the changes that let the group carry the most more, one after another.
func (r *revision) better() {
	now := merit(r.spec, r.group, r.placed)
	for r.moves < movesAtOnce {
		best, most := r.bestChange(now)
		if most <= now {
			return
		}
		for _, ch := range best {
			r.change(ch.card, ch.to)
		}
		now = most
	}
}

// bestChange returns the change that lets the group carry the most, and how much, if it is
// worth it; now otherwise.
func (r *revision) bestChange(now float64) (best []change, most float64) {
	most = now
	consider := func(worth float64, changes ...change) {
		bound := max(most, now*(1+worth))
		if m := newJudged(r.spec, r.group, r.after(changes), nil).meritOver(bound); m > bound {
			best, most = changes, m
		}
	}
	for _, card := range firstOfEachKind(without(without(r.empty(), isBusy), isJoining)) {
		for _, to := range r.loadable(r.spec.kind(card.Kind)) {
			consider(worthLoading, change{card: card, to: to})
		}
	}
	for _, card := range r.group {
		held := r.placed[card.ID]
		if held.Len() == 0 || card.Loading || card.Busy {
			continue
		}
		for _, to := range r.remainders(held) {
			consider(worthGivingUp, change{card: card, to: to})
		}
		if needless := r.needlessBeside(card); len(needless) > 1 {
			consider(worthGivingUp, needless...)
		}
	}
	return best, most
}

// needlessBeside lists what the others may give up, all together, as a card holds it.
// What was worth loading is so only with all of it.
func (r *revision) needlessBeside(card Replica) []change {
	left := maps.Clone(r.placed)
	r.giveUp(left, change{card: card, to: r.placed[card.ID]})
	settled := slices.Clone(r.settled)
	var changes []change
	for _, other := range r.group {
		held, to := r.placed[other.ID], left[other.ID]
		if held == to || other.Loading || other.Busy || !settled.spares(held, to) {
			continue
		}
		settled.add(held, -1)
		settled.add(to, 1)
		changes = append(changes, change{card: other, to: to})
	}
	return changes
}

// after is the placement once cards have loaded their ranges and the others have given up
// what these make needless: slower cards what lies within one, crowded ones what reaches
// into one.
func (r *revision) after(changes []change) map[string]config.LayerRange {
	placed := maps.Clone(r.placed)
	for _, ch := range changes {
		if !r.placed[ch.card.ID].Contains(ch.to) {
			r.giveUp(placed, ch)
		}
		placed[ch.card.ID] = ch.to
	}
	return placed
}

func (r *revision) giveUp(placed map[string]config.LayerRange, ch change) {
	pace := r.spec.kind(ch.card.Kind).StepPace
	for _, other := range r.group {
		held, k := placed[other.ID], r.spec.kind(other.Kind)
		switch {
		case other.ID == ch.card.ID || held.Len() == 0 || held.From >= ch.to.To || held.To <= ch.to.From:
		case ch.to.Contains(held):
			if k.StepPace > pace {
				placed[other.ID] = config.LayerRange{}
			}
		case r.c.requests(k, held.Len()) >= crowded:
		case held.From < ch.to.From && held.To <= ch.to.To:
			placed[other.ID] = config.LayerRange{From: held.From, To: ch.to.From}
		case held.From >= ch.to.From:
			placed[other.ID] = config.LayerRange{From: ch.to.To, To: held.To}
		}
	}
}

// loadable lists the ranges that an empty card may load: those that other cards hold one
// behind the other, as many layers as leave it the usual room, wherever they begin, and
// whatever has the least room.
func (r *revision) loadable(k Kind) []config.LayerRange {
	var ranges []config.LayerRange
	for _, first := range r.group {
		for _, last := range r.group {
			to := config.LayerRange{From: r.placed[first.ID].From, To: r.placed[last.ID].To}
			if r.placed[first.ID].Len() > 0 && r.placed[last.ID].Len() > 0 && to.Len() > 0 && r.c.requests(k, to.Len()) >= leastRoom {
				ranges = append(ranges, to)
			}
		}
	}
	if n := r.c.layersFor(k, crowded); n > 0 {
		for from := 0; from+n <= r.spec.Layers; from++ {
			ranges = append(ranges, config.LayerRange{From: from, To: from + n})
		}
	}
	if to, _ := r.c.best(k); to.Len() > 0 {
		ranges = append(ranges, to)
	}
	return ranges
}

// remainders lists what a card may keep of its range: nothing, or one end, if others hold
// the rest with room enough.
func (r *revision) remainders(held config.LayerRange) []config.LayerRange {
	var ranges []config.LayerRange
	if r.settled.spares(held, config.LayerRange{}) {
		ranges = append(ranges, config.LayerRange{})
	}
	for n := 1; n < held.Len(); n++ {
		for _, to := range []config.LayerRange{{From: held.From + n, To: held.To}, {From: held.From, To: held.To - n}} {
			if r.settled.spares(held, to) {
				ranges = append(ranges, to)
			}
		}
	}
	return ranges
}
