package layers

import "geraniumcroft/internal/config"

// closeHoles widens the ranges beside layers that nobody in the group holds, one
// layer at a time, on the side that keeps the most room for requests. A hole that
// the neighbours cannot close stays: other data centres hold the layers.
func closeHoles(spec *Spec, group []Replica, placed map[string]config.LayerRange) {
	for range spec.Layers {
		hole, found := firstHole(spec, group, placed)
		if !found || !narrow(spec, group, placed, hole) {
			return
		}
	}
}

func firstHole(spec *Spec, group []Replica, placed map[string]config.LayerRange) (config.LayerRange, bool) {
	held := make([]bool, spec.Layers)
	for _, r := range group {
		for l := placed[r.ID].From; l < placed[r.ID].To && l < spec.Layers; l++ {
			held[l] = true
		}
	}
	for from := range held {
		if held[from] {
			continue
		}
		to := from
		for to < len(held) && !held[to] {
			to++
		}
		return config.LayerRange{From: from, To: to}, true
	}
	return config.LayerRange{}, false
}

// narrow takes one layer off the hole and reports whether a neighbour could.
func narrow(spec *Spec, group []Replica, placed map[string]config.LayerRange, hole config.LayerRange) bool {
	best, bestRoom := -1, 0.0
	for i, r := range group {
		held := placed[r.ID]
		beside := held.Len() > 0 && (held.To == hole.From || held.From == hole.To)
		k := spec.kind(r.Kind)
		if !beside || held.Len() >= spec.maxLayers(k) {
			continue
		}
		if room := spec.room(k, held.Len()+1); room >= spec.usualTokens() && (best < 0 || room > bestRoom) {
			best, bestRoom = i, room
		}
	}
	if best < 0 {
		return false
	}
	held := placed[group[best].ID]
	if held.To == hole.From {
		held.To++
	} else {
		held.From--
	}
	placed[group[best].ID] = held
	return true
}
