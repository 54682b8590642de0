package layers

import (
	"cmp"
	"maps"
	"slices"

	"geraniumcroft/internal/config"
)

// minCapacity is the least number of mean requests for which a card needs memory where memory
// is short, as long as no layer is left out for it.
const minCapacity = 4.0

// Place returns the ranges that replicas should hold, by replica ID. The result includes
// replicas whose range does not change; a replica that should hold nothing is missing. It
// is a pure function of its arguments, so two VMs with the same view send the same orders.
//
// A data centre whose cards can hold a set of layers gets its own sets. The cards of the
// other data centres together form sets that span data centres. A group of cards without
// any layer is laid out as a whole. Otherwise replicas keep what they hold unless a move
// is clearly worth the time to load: until then the layers that the card releases serve no
// request.
func Place(spec *Spec, replicas []Replica) map[string]config.LayerRange {
	placed := map[string]config.LayerRange{}
	for _, group := range groups(spec, replicas) {
		placeGroup(spec, group, placed)
	}
	return placed
}

// groups returns the groups of replicas that share sets of layers. Draining replicas and
// cards on which no layer fits are in none.
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

// compareReplicas sorts fast cards first, so that the cards of a set have similar speeds.
func compareReplicas(spec *Spec, a, b Replica) int {
	byStepTime := cmp.Compare(spec.kind(a.Kind).StepTimeFactor, spec.kind(b.Kind).StepTimeFactor)
	return cmp.Or(byStepTime, cmp.Compare(a.Address, b.Address), cmp.Compare(a.ID, b.ID))
}

// maxSets returns how many sets of layers the replicas can hold in addition to some requests.
// It is 0 if they cannot hold a single one.
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

// placeGroup places the layers of one group of cards.
func placeGroup(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	for _, r := range group {
		if r.Held.Len() > 0 {
			rebalance(spec, group, placed)
			return
		}
	}
	placeFromScratch(spec, group, placed)
}
