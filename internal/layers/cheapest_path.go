package layers

import (
	"math"
	"slices"

	"geraniumcroft/internal/config"
)

// maxStages is the longest path that engines take.
const maxStages = 32

// step is the cheapest way to one cut and data centre.
type step struct {
	cost   float64
	holder *replicaState
	cut    int
	dc     int
}

// computeSteps finds the cheapest way to each cut and data centre.
func (s *search) computeSteps() {
	s.steps = make([][]step, len(s.cuts))
	for i := range s.steps {
		s.steps[i] = make([]step, len(s.dcs))
		for d := range s.steps[i] {
			s.steps[i][d].cost = math.Inf(1)
		}
	}
	for i := 0; i+1 < len(s.cuts); i++ {
		for _, r := range s.holders {
			if r.Held.From <= s.cuts[i] && r.Held.To > s.cuts[i] {
				s.extendSteps(i, r)
			}
		}
	}
}

// extendSteps walks on from a cut over one replica, to each cut that it reaches.
func (s *search) extendSteps(i int, r *replicaState) {
	d, _ := slices.BinarySearch(s.dcs, r.DataCentre)
	arrival, from := s.arrivalCost(i, r)
	if math.IsInf(arrival, 1) {
		return
	}
	for j := i + 1; j < len(s.cuts) && s.cuts[j] <= r.Held.To; j++ {
		cost := arrival + s.stageCost(r, s.cuts[j]-s.cuts[i])
		if j == len(s.cuts)-1 && s.toDC != "" && s.toDC != r.DataCentre {
			cost += s.crossingCost(r.DataCentre, s.toDC)
		}
		if cost < s.steps[j][d].cost {
			s.steps[j][d] = step{cost: cost, holder: r, cut: i, dc: from}
		}
	}
}

// arrivalCost returns the cheapest cost of reaching the replica at a cut, and the data
// centre that it comes from.
func (s *search) arrivalCost(i int, r *replicaState) (float64, int) {
	if i == 0 {
		return s.firstStageCost(r), -1
	}
	best, from := math.Inf(1), -1
	for d, at := range s.steps[i] {
		cost := at.cost
		if s.dcs[d] != r.DataCentre {
			cost += s.crossingCost(s.dcs[d], r.DataCentre)
		}
		if cost < best && at.holder != r {
			best, from = cost, d
		}
	}
	return best, from
}

// backtrack follows the steps back from the end.
func (s *search) backtrack() Path {
	cut, dc := len(s.cuts)-1, -1
	best := math.Inf(1)
	for d, at := range s.steps[cut] {
		if at.cost < best {
			best, dc = at.cost, d
		}
	}
	var path Path
	for cut > 0 && dc >= 0 && len(path) < maxStages {
		at := s.steps[cut][dc]
		path = append(path, Stage{Replica: at.holder.Replica, Layers: s.layers(at.cut, cut)})
		cut, dc = at.cut, at.dc
	}
	if cut != 0 {
		return nil
	}
	slices.Reverse(path)
	return path
}

// layers returns the range between two cuts.
func (s *search) layers(i, j int) config.LayerRange {
	return config.LayerRange{From: s.cuts[i], To: s.cuts[j]}
}
