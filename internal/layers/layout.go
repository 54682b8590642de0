package layers

import (
	"math"
	"slices"

	"geraniumcroft/internal/config"
)

const (
	// lossWeight is the weight of the capacity that remains on average after the loss of one
	// card, against the capacity of the whole group. Cards fail several times a day, and a
	// layer with one holder then stops all streams of the data centre. With 12 cards in a
	// data centre, 0.5 gives every layer one holder, and 0.7 gives a quarter of them two.
	lossWeight = 0.7
	// assumedFill is how full cards are assumed to be when the time of a step is computed.
	// From empty to full a step takes about twice as long, on all kinds of cards alike.
	assumedFill = 0.6
)

// Parameters of the candidate layouts. Fewer sets leave more memory for requests, and more
// capacity for requests on a card leaves less memory for layers. The grid includes what
// was best for 13 cards a data centre (capacity 120, redundancy 1.25) and for 34 (capacity
// 240, redundancy 1).
var (
	capacityCandidates   = []float64{60, 90, 120, 150, 180, 240}
	redundancyCandidates = []float64{1, 1.12, 1.25, 1.5}
)

// layout describes how layers are assigned to the cards of a group that holds none.
type layout struct {
	// sets is the number of complete sets of layers.
	sets int
	// capacity is the number of mean requests beyond which a card needs no more memory for
	// requests.
	capacity float64
	// redundancy is how many times the cards of a set should be able to hold the model
	// in addition to the requests. What exceeds 1 gives layers a second holder.
	redundancy float64
}

// maxCellCards is the largest number of cards that are laid out together. Larger groups
// are dealt into similar cells, and the best layout of one cell is used for all. Comparing
// layouts takes 20 ms of a core for 34 cards and grows with the square of their number:
// for 333 cards in a data centre and 0.19 of a core the first layout was ready only after
// the first requests had arrived.
const maxCellCards = 48

// placeFromScratch assigns complete sets of layers to the cards of a group that holds none,
// with the layout that has the highest throughput.
func placeFromScratch(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	cells := cellsOf(spec, group)
	best := bestLayout(spec, cells[0])
	for _, cell := range cells {
		best.place(spec, cell, placed)
		if throughput(spec, cell, placed) == 0 {
			// This cell lacks a card that the first one has, so a layer was left out.
			bestLayout(spec, cell).place(spec, cell, placed)
		}
	}
}

// cellsOf deals a group, sorted with the fast cards first, into similar cells that can
// each hold the model. If some cell could not, the whole group is one cell.
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

// bestLayout returns the layout with the highest throughput for the group.
func bestLayout(spec *Spec, group []Replica) layout {
	var best layout
	most := math.Inf(-1)
	for _, l := range layouts(spec, group) {
		tried := map[string]config.LayerRange{}
		l.place(spec, group, tried)
		if throughput := throughput(spec, group, tried); throughput > most {
			best, most = l, throughput
		}
	}
	return best
}

// layouts returns the candidate layouts.
func layouts(spec *Spec, group []Replica) []layout {
	var all []layout
	for sets := 1; sets <= max(1, maxSets(spec, group)); sets++ {
		for _, capacity := range capacityCandidates {
			for _, redundancy := range redundancyCandidates {
				all = append(all, layout{sets: sets, capacity: capacity, redundancy: redundancy})
			}
		}
	}
	return all
}

// place splits the group into sets of cards with equal memory.
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

// placeSet assigns one set of layers to a set of cards, to the fast cards first and to each
// as many as leave memory for enough requests. The remaining cards become second holders
// of the layers with the least capacity.
//
// Each token passes every stage, so a layer on a slow card delays every request. With the
// layers on the fastest cards a request ends sooner, uses its memory for less time and is
// less likely to be in progress when a card fails. A second holder in the data centre
// takes over at once, without a path that crosses to another data centre.
func (l layout) placeSet(spec *Spec, set []Replica, placed map[string]config.LayerRange) {
	c := newCoverage(spec)
	capacity := c.capacityFor(set, l)
	from := 0
	var left []Replica
	for _, r := range set {
		k := spec.kind(r.Kind)
		n := min(c.layersFor(k, capacity), spec.Layers-from)
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

// throughput estimates how many requests a second the group serves: the capacity of the
// layer that has the least, divided by the time for which a request uses it.
func throughput(spec *Spec, group []Replica, placed map[string]config.LayerRange) float64 {
	c := newCoverage(spec)
	stepTimes := make([]float64, spec.Layers)
	stages := make([]float64, spec.Layers)
	for _, r := range group {
		k, held := spec.kind(r.Kind), placed[r.ID]
		c.add(k, held, 1)
		for layer := held.From; layer < held.To; layer++ {
			capacity := c.requestsAt(k, held.Len(), layer)
			stepTimes[layer] += capacity * spec.stepTime(k, assumedFill*capacity, spec.meanTokens())
			stages[layer] += capacity / float64(held.Len())
		}
	}
	if slices.Min(c.capacity) <= 0 {
		return 0
	}
	tokenTime := 0.0 // seconds
	for layer, capacity := range c.capacity {
		tokenTime += (1+stageOverhead)*stepTimes[layer]/capacity/float64(spec.Layers) + hopCost.Seconds()*stages[layer]/capacity
	}
	return ((1-lossWeight)*slices.Min(c.capacity) + lossWeight*capacityAfterLoss(c, group, placed)) / tokenTime
}

// capacityAfterLoss returns the capacity of the layer that has the least after the loss of one
// card, as the mean over all cards.
func capacityAfterLoss(c *coverage, group []Replica, placed map[string]config.LayerRange) float64 {
	sum := 0.0
	for _, r := range group {
		k, held := c.spec.kind(r.Kind), placed[r.ID]
		c.add(k, held, -1)
		sum += max(0, slices.Min(c.capacity))
		c.add(k, held, 1)
	}
	return sum / float64(max(1, len(group)))
}
