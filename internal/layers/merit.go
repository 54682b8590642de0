package layers

import (
	"math"

	"geraniumcroft/internal/config"
)

const (
	// lossWeight is the weight of what is carried on average after the loss of one card,
	// once others have taken its layers over, against that of the whole group. Cards die
	// several times a day. With 0.25 days with losses came out alike (a difference of 0.003
	// in what is served, within the error of 0.01, 20 pairs of days).
	lossWeight = 0.5
	// usualFill is how full cards are taken to be for the time of a step. It is a guess:
	// from 0 to 1 a step takes about twice as long, on all kinds alike.
	usualFill = 0.6
)

// merit estimates how many requests a second a group carries, whole and after the loss of
// one card: the room at the scarcest layers over the time that a request holds it. A lost
// card's layers are taken over by cards that hold none, which takes them a second, or by
// their neighbours, which have little room left then. It is 0 where a layer is nobody's.
func merit(spec *Spec, group []Replica, placed map[string]config.LayerRange) float64 {
	return newJudged(spec, group, placed, nil).meritOver(0)
}

// judged is a placement of a group while it is being judged.
type judged struct {
	spec   *Spec
	group  []Replica
	placed map[string]config.LayerRange
	c      *coverage
	// token is the time of a token over all layers, in seconds.
	token float64
	// scarce is the sum over the layers of what scarceAt says of their rooms.
	scarce float64
	// spares are the cards without layers, and what they can take over.
	spares     *filler
	sparesPace float64
	hole       bool
}

// newJudged judges a placement. The layers of assumed, if they are nobody's, are taken to
// be held as the others are.
func newJudged(spec *Spec, group []Replica, placed map[string]config.LayerRange, assumed []config.LayerRange) *judged {
	j := &judged{spec: spec, group: group, placed: placed, c: newCoverage(spec)}
	pace, stages := make([]float64, spec.Layers), make([]float64, spec.Layers)
	var spares []Kind
	for _, r := range group {
		k, held := spec.kind(r.Kind), placed[r.ID]
		if held.Len() == 0 {
			spares = append(spares, k)
			j.sparesPace = max(j.sparesPace, k.StepPace)
			continue
		}
		j.c.add(k, held, 1)
		room := j.c.requests(k, held.Len())
		step := spec.stepTime(k, usualFill*room, spec.usualTokens())
		for layer := held.From; layer < held.To; layer++ {
			here := j.c.requestsAt(k, held.Len(), layer)
			pace[layer] += here * step
			stages[layer] += here / float64(held.Len())
		}
	}
	j.assume(assumed, pace, stages)
	for layer, room := range j.c.room {
		j.hole = j.hole || room <= 0
		j.scarce += scarceAt(room)
		j.token += (1+stageOverhead)*pace[layer]/room/float64(spec.Layers) + hopCost.Seconds()*stages[layer]/room
	}
	if !j.hole {
		j.spares = newFiller(j.c, spares, j.room(j.scarce))
	}
	return j
}

// assume fills holes with the means of the other layers.
func (j *judged) assume(holes []config.LayerRange, pace, stages []float64) {
	var meanRoom, meanPace, meanStages, n float64
	for l, room := range j.c.room {
		if room > 0 {
			meanRoom, meanPace, meanStages, n = meanRoom+room, meanPace+pace[l]/room, meanStages+stages[l]/room, n+1
		}
	}
	for _, hole := range holes {
		for l := hole.From; l < hole.To && n > 0; l++ {
			if j.c.room[l] <= 0 {
				j.c.room[l] = meanRoom / n
				pace[l], stages[l] = meanPace/n*j.c.room[l], meanStages/n*j.c.room[l]
			}
		}
	}
}

// scarceAt weighs the room of a layer: with the sixth power the mean of all rooms is near
// the least one, but a change that ends one of two shortages counts too.
func scarceAt(room float64) float64 {
	squared := max(room, uncovered) * max(room, uncovered)
	return 1 / (squared * squared * squared)
}

// room is the room of all layers together, by the sum of scarceAt over them.
func (j *judged) room(scarce float64) float64 {
	return 1 / math.Sqrt(math.Cbrt(scarce/float64(j.spec.Layers)))
}

// meritOver is the merit if it is above a bound, else 0. No loss lets the group carry more,
// so one that carries too little whole need not be looked at further; that halves the time
// of a look at 34 cards.
func (j *judged) meritOver(bound float64) float64 {
	if j.hole {
		return 0
	}
	whole := j.room(j.scarce) / j.token
	if whole <= bound {
		return 0
	}
	lost := 0.0
	for _, r := range j.group {
		lost += j.afterLoss(r)
	}
	return (1-lossWeight)*whole + lossWeight*lost/float64(max(1, len(j.group)))
}

// afterLoss is how many requests a second are carried once the others have taken over
// what a lost card held alone.
func (j *judged) afterLoss(r Replica) float64 {
	k, held := j.spec.kind(r.Kind), j.placed[r.ID]
	scarce := j.scarce
	hole := config.LayerRange{}
	for l := held.From; l < held.To; l++ {
		scarce -= scarceAt(j.c.room[l])
		left := j.c.room[l] - j.c.requestsAt(k, held.Len(), l)
		if left >= 1 {
			scarce += scarceAt(left)
			continue
		}
		if hole.Len() == 0 {
			hole.From = l
		}
		hole.To = l + 1
	}
	scarce = max(scarce, 0)
	if hole.Len() == 0 {
		return j.room(scarce) / j.token
	}
	token := j.token
	room := j.spares.room(hole.Len())
	if room > 0 {
		slower := max(0, j.sparesPace-k.StepPace) / k.StepPace
		token += (1 + stageOverhead) * slower * j.spec.stepTime(k, usualFill*room, j.spec.usualTokens()) * float64(hole.Len()) / float64(j.spec.Layers)
	} else {
		room = j.widened(r, hole)
	}
	return j.room(scarce+float64(hole.Len())*scarceAt(room)) / token
}

// widened is the room that is left when the neighbours of a hole divide it among them.
func (j *judged) widened(lost Replica, hole config.LayerRange) float64 {
	before, after := 0.0, 0.0
	half := hole.Len() / 2
	for _, r := range j.group {
		k, held := j.spec.kind(r.Kind), j.placed[r.ID]
		if r.ID == lost.ID || held.Len() == 0 {
			continue
		}
		if held.From < hole.From && held.To >= hole.From {
			before = max(before, j.c.requests(k, max(held.To, hole.From+half)-held.From))
		}
		if held.From <= hole.To && held.To > hole.To {
			after = max(after, j.c.requests(k, held.To-min(held.From, hole.From+half)))
		}
	}
	switch {
	case hole.From == 0:
		return after / 2
	case hole.To == j.spec.Layers:
		return before / 2
	}
	return min(before, after)
}
