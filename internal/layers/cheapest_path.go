package layers

import (
	"math"
	"slices"

	"geraniumcroft/internal/config"
)

// maxStages is the largest number of stages that engines accept.
const maxStages = 32

// step is the last stage of the cheapest path to a cut that ends in a certain data centre.
// The stage begins at cut and follows a stage in the data centre with index dc.
type step struct {
	cost   float64
	holder *replicaState
	cut    int
	dc     int
}

// computeSteps finds the cheapest path to each cut and data centre.
func (s *search) computeSteps() {
	s.steps = make([][]step, len(s.cuts))
	for i := range s.steps {
		s.steps[i] = make([]step, len(s.dcs))
		for d := range s.steps[i] {
			s.steps[i][d].cost = math.Inf(1)
		}
	}
	for i, holders := range s.holdersAtCuts() {
		for _, r := range holders {
			s.extendSteps(i, r)
		}
	}
}

// holdersAtCuts returns for each cut the replicas that hold the layer behind it.
func (s *search) holdersAtCuts() [][]*replicaState {
	at := make([][]*replicaState, len(s.cuts))
	for _, r := range s.holders {
		first, _ := slices.BinarySearch(s.cuts, max(s.from, r.Held.From))
		for i := first; i+1 < len(s.cuts) && s.cuts[i] < r.Held.To; i++ {
			at[i] = append(at[i], r)
		}
	}
	return at
}

// extendSteps continues the paths that end at a cut over one replica, to each cut within
// the replica's range.
func (s *search) extendSteps(i int, r *replicaState) {
	d, _ := slices.BinarySearch(s.dcs, r.DataCentre)
	arrivalCost, from := s.arrivalCost(i, r)
	if math.IsInf(arrivalCost, 1) {
		return
	}
	for j := i + 1; j < len(s.cuts) && s.cuts[j] <= r.Held.To; j++ {
		cost := arrivalCost + s.stageCost(r, s.cuts[j]-s.cuts[i])
		if j == len(s.cuts)-1 && s.toDC != "" && s.toDC != r.DataCentre {
			cost += s.crossingCost(r.DataCentre, s.toDC)
		}
		if cost < s.steps[j][d].cost {
			s.steps[j][d] = step{cost: cost, holder: r, cut: i, dc: from}
		}
	}
}

// arrivalCost returns the least cost of a path that reaches the replica at a cut, and the
// index of the data centre from which it comes, -1 if it begins there.
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

// backtrack follows the steps back from the last cut. It returns nil if no path reaches it
// within maxStages.
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
