package layers

import (
	"cmp"
	"maps"
	"slices"

	"geraniumcroft/internal/config"
)

// copyHeadroom is how much memory, in multiples of the model's weights, a data
// centre needs for each set of layers. The part above 1 holds requests: at 1.5 a
// third of the memory does. With fewer sets the paths are long; with more the
// requests find no room.
const copyHeadroom = 1.5

const (
	// redundancy is how many times a set's cards shall be able to hold the model beside
	// requests. What is above 1 doubles layers.
	redundancy = 1.25
	// enoughRoom is for how many usual requests a card needs no more room, and leastRoom
	// for how many it has to have some at least where memory is short.
	enoughRoom = 120.0
	leastRoom  = 4.0
)

// Place returns the ranges that replicas are to hold. Replicas whose range stays as
// it is are in the result too; one that is to hold nothing is not. It is a pure
// function of its arguments, so that two VMs with the same view order the same.
//
// Data centres that can hold a set of layers get sets of their own; the cards of
// the others together form sets that span data centres. A group without any layer is
// laid out whole. After that replicas keep what they hold unless a move is clearly
// worth its load: layers that are given up serve nobody meanwhile.
func Place(spec *Spec, replicas []Replica) map[string]config.LayerRange {
	placed := map[string]config.LayerRange{}
	for _, group := range groups(spec, replicas) {
		placeGroup(spec, group, placed)
	}
	return placed
}

// groups splits the replicas into those that share sets of layers.
func groups(spec *Spec, replicas []Replica) [][]Replica {
	byDataCentre := map[string][]Replica{}
	for _, r := range replicas {
		if !r.Draining && spec.maxLayers(spec.kind(r.Kind)) > 0 {
			byDataCentre[r.DataCentre] = append(byDataCentre[r.DataCentre], r)
		}
	}
	var whole [][]Replica
	var rest []Replica
	for _, name := range slices.Sorted(maps.Keys(byDataCentre)) {
		group := byDataCentre[name]
		slices.SortFunc(group, func(a, b Replica) int { return compareReplicas(spec, a, b) })
		if sets(spec, group) >= 1 {
			whole = append(whole, group)
		} else {
			rest = append(rest, group...)
		}
	}
	if len(rest) > 0 {
		whole = append(whole, rest)
	}
	return whole
}

// compareReplicas puts fast cards first, so that a set is made of cards of like pace.
func compareReplicas(spec *Spec, a, b Replica) int {
	byPace := cmp.Compare(spec.kind(a.Kind).StepPace, spec.kind(b.Kind).StepPace)
	return cmp.Or(byPace, cmp.Compare(a.Address, b.Address), cmp.Compare(a.ID, b.ID))
}

// sets is how many sets of layers the replicas are to hold.
func sets(spec *Spec, group []Replica) int {
	memory, most := 0.0, 0
	for _, r := range group {
		k := spec.kind(r.Kind)
		memory += k.MemoryMB
		most += spec.maxLayers(k)
	}
	if most < spec.Layers {
		return 0
	}
	return max(1, int(memory/(copyHeadroom*float64(spec.Layers)*spec.LayerMB)))
}

func placeGroup(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	for _, r := range group {
		if r.Held.Len() > 0 {
			improve(spec, group, placed)
			return
		}
	}
	layOut(spec, group, placed)
}

// layOut gives the cards of a group that holds nothing whole sets of layers.
func layOut(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	n := max(1, sets(spec, group))
	memory := 0.0
	for _, r := range group {
		memory += spec.kind(r.Kind).MemoryMB
	}
	share := memory / float64(n)
	start, sum := 0, 0.0
	for i, r := range group {
		sum += spec.kind(r.Kind).MemoryMB
		if sum >= share || i == len(group)-1 {
			layOutSet(spec, group[start:i+1], placed)
			start, sum = i+1, sum-share
		}
	}
}

// layOutSet gives a set of cards one set of layers, the fast cards first and as many
// as leave room for enough requests. The cards that are left double those layers that
// have the least room.
//
// Each token passes every stage, so a layer costs a request its card's pace: with the
// layers where they are fastest a request is done sooner, holds its memory for less
// time and is less likely to be under way when a card dies. What is doubled is there
// at once when one does, without crossing to another data centre.
func layOutSet(spec *Spec, set []Replica, placed map[string]config.LayerRange) {
	c := newCoverage(spec)
	room := c.roomFor(set)
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
		if held, _ := c.best(k); held.Len() > 0 {
			placed[r.ID] = held
			c.add(k, held, 1)
		}
	}
}
