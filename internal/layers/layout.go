package layers

import (
	"math"
	"slices"

	"geraniumcroft/internal/config"
)

const (
	// lossWeight is the weight of the room that is left on average after the loss of one
	// card against that of the whole group. Cards die several times a day; a layer with
	// one holder then stops all streams of the data centre. At 0.5 a data centre of 12 cards
	// got layers with one holder throughout; at 0.7 it doubles a quarter.
	lossWeight = 0.7
	// assumedFill is how full cards are taken to be for the time of a step. It is a guess:
	// from 0 to 1 a step takes about twice as long, on all kinds alike.
	assumedFill = 0.6
)

// Parameters of the layouts that are compared. Fewer sets leave more memory for
// requests, and more room in a card keeps layers off it. The grid spans what was best on
// 13 cards a data centre (120 and 1.25) and on 34 (240 and 1).
var (
	roomCandidates       = []float64{60, 90, 120, 150, 180, 240}
	redundancyCandidates = []float64{1, 1.12, 1.25, 1.5}
)

// layout is a way to give the cards of a group that holds nothing their layers.
type layout struct {
	// sets is how many whole sets of layers are laid out.
	sets int
	// room is for how many usual requests a card needs no more room.
	room float64
	// redundancy is how many times the cards of a set shall be able to hold the model
	// beside requests. What is above 1 doubles layers.
	redundancy float64
}

// maxCellCards is how many cards are laid out together. Larger groups are dealt into cells of
// like cards, and one cell's best layout serves all: comparing layouts costs 20 ms of a
// core for 34 cards and grows with the square of their number; with 333 cards a data
// centre and 0.19 of a core the first layout came after the first requests.
const maxCellCards = 48

// placeFromScratch gives the cards of a group that holds nothing whole sets of layers, in the way
// that carries the most requests a second.
func placeFromScratch(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	cells := cellsOf(spec, group)
	best := bestLayout(spec, cells[0])
	for _, cell := range cells {
		best.place(spec, cell, placed)
		if throughput(spec, cell, placed) == 0 {
			// This cell is short of a card that the first one has, and a layer of its was left out.
			bestLayout(spec, cell).place(spec, cell, placed)
		}
	}
}

// cellsOf deals a group, whose fast cards come first, into cells of like cards that each
// hold the model; if they could not, the group is one cell.
func cellsOf(spec *Spec, group []Replica) [][]Replica {
	n := (len(group) + maxCellCards - 1) / maxCellCards
	cells := make([][]Replica, max(1, n))
	for i, r := range group {
		cells[i%len(cells)] = append(cells[i%len(cells)], r)
	}
	for _, cell := range cells {
		if maxSets(spec, cell) == 0 {
			return [][]Replica{group}
		}
	}
	return cells
}

func bestLayout(spec *Spec, group []Replica) layout {
	var best layout
	most := math.Inf(-1)
	for _, l := range layouts(spec, group) {
		tried := map[string]config.LayerRange{}
		l.place(spec, group, tried)
		if merit := throughput(spec, group, tried); merit > most {
			best, most = l, merit
		}
	}
	return best
}

// layouts lists the layouts to compare.
func layouts(spec *Spec, group []Replica) []layout {
	var all []layout
	for sets := 1; sets <= max(1, maxSets(spec, group)); sets++ {
		for _, room := range roomCandidates {
			for _, redundancy := range redundancyCandidates {
				all = append(all, layout{sets: sets, room: room, redundancy: redundancy})
			}
		}
	}
	return all
}

// place splits the group into sets of like memory.
func (l layout) place(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	memory := 0.0
	for _, r := range group {
		memory += spec.kind(r.Kind).MemoryMB
	}
	share := memory / float64(l.sets)
	start, sum := 0, 0.0
	for i, r := range group {
		sum += spec.kind(r.Kind).MemoryMB
		if sum >= share || i == len(group)-1 {
			l.placeSet(spec, group[start:i+1], placed)
			start, sum = i+1, sum-share
		}
	}
}

// placeSet gives a set of cards one set of layers, the fast cards first and as many as
// leave room for enough requests. The cards that are left double those layers that have
// the least room.
//
// Each token passes every stage, so a layer costs a request its card's pace: with the
// layers where they are fastest a request is done sooner, holds its memory for less
// time and is less likely to be under way when a card dies. What is doubled is there
// at once when one does, without crossing to another data centre.
func (l layout) placeSet(spec *Spec, set []Replica, placed map[string]config.LayerRange) {
	c := newCoverage(spec)
	room := c.roomFor(set, l)
	from := 0
	var left []Replica
	for _, r := range set {
		k := spec.kind(r.Kind)
		n := min(c.layersFor(k, room), spec.Layers-from)
		if n <= 0 {
			left = append(left, r)
			continue
		}
		placed[r.ID] = config.LayerRange{From: from, To: from + n}
		c.add(k, placed[r.ID], 1)
		from += n
	}
	for _, r := range left {
		k := spec.kind(r.Kind)
		if held, _ := c.bestRange(k); held.Len() > 0 {
			placed[r.ID] = held
			c.add(k, held, 1)
		}
	}
}

// throughput estimates how many requests a second the group carries: the room at the layer
// that has the least, over the time that a request holds it.
func throughput(spec *Spec, group []Replica, placed map[string]config.LayerRange) float64 {
	c := newCoverage(spec)
	pace := make([]float64, spec.Layers)
	stages := make([]float64, spec.Layers)
	for _, r := range group {
		k, held := spec.kind(r.Kind), placed[r.ID]
		c.add(k, held, 1)
		for layer := held.From; layer < held.To; layer++ {
			room := c.requestsAt(k, held.Len(), layer)
			pace[layer] += room * spec.stepTime(k, assumedFill*room, spec.meanTokens())
			stages[layer] += room / float64(held.Len())
		}
	}
	if slices.Min(c.room) <= 0 {
		return 0
	}
	token := 0.0 // seconds
	for layer, room := range c.room {
		token += (1+stageOverhead)*pace[layer]/room/float64(spec.Layers) + hopCost.Seconds()*stages[layer]/room
	}
	return ((1-lossWeight)*slices.Min(c.room) + lossWeight*roomAfterLoss(c, group, placed)) / token
}

// roomAfterLoss is the room at the layer that has the least after the loss of one card,
// on average over all cards.
func roomAfterLoss(c *coverage, group []Replica, placed map[string]config.LayerRange) float64 {
	sum := 0.0
	for _, r := range group {
		k, held := c.spec.kind(r.Kind), placed[r.ID]
		c.add(k, held, -1)
		sum += max(0, slices.Min(c.room))
		c.add(k, held, 1)
	}
	return sum / float64(max(1, len(group)))
}
