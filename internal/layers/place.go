package layers

import (
	"cmp"
	"maps"
	"slices"

	"geraniumcroft/internal/config"
)

// minRoom is for how many usual requests a card has to have room at least where memory
// is short.
const minRoom = 4.0

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
		if maxSets(spec, group) >= 1 {
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
	byPace := cmp.Compare(spec.kind(a.Kind).StepTimeFactor, spec.kind(b.Kind).StepTimeFactor)
	return cmp.Or(byPace, cmp.Compare(a.Address, b.Address), cmp.Compare(a.ID, b.ID))
}

// maxSets is how many sets of layers the replicas can hold beside some requests, 0 if
// not even one.
func maxSets(spec *Spec, group []Replica) int {
	const memoryPerSet = 1.1 // memory for a set and a few requests, in multiples of its weights
	memory, most := 0.0, 0
	for _, r := range group {
		k := spec.kind(r.Kind)
		memory += k.MemoryMB
		most += spec.maxLayers(k)
	}
	if most < spec.Layers {
		return 0
	}
	return max(1, int(memory/(memoryPerSet*float64(spec.Layers)*spec.LayerMB)))
}

func placeGroup(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	for _, r := range group {
		if r.Held.Len() > 0 {
			rebalance(spec, group, placed)
			return
		}
	}
	placeFromScratch(spec, group, placed)
}
