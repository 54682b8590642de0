package plan

import "math"

// noGroup stands for a missing group.
const noGroup = -1

// search finds the cheapest path by dynamic programming over the cuts. It reuses its arrays between
// calls, so it is not safe for concurrent use.
type search struct {
	g *graph
	// cost is the least cost of the layers up to the current cut with the group as the last one.
	// predecessor[cut][group] is the group before the cut on that path, the group itself if it
	// continues.
	cost, next  []float64
	predecessor [][]int
	// centreCost is the least cost of a hop to each data centre, centrePredecessor the group where
	// that hop starts. Both are for the current cut.
	centreCost        []float64
	centrePredecessor []int
}

func newSearch(g *graph) *search {
	s := &search{
		g:                 g,
		cost:              make([]float64, len(g.groups)),
		next:              make([]float64, len(g.groups)),
		predecessor:       make([][]int, len(g.cuts)),
		centreCost:        make([]float64, len(g.centres)),
		centrePredecessor: make([]int, len(g.centres)),
	}
	flat := make([]int, len(g.cuts)*len(g.groups))
	for cut := range s.predecessor {
		s.predecessor[cut] = flat[cut*len(g.groups) : (cut+1)*len(g.groups)]
	}
	return s
}

// run returns the cheapest path over the span and its cost. ok is false if the allowed groups do
// not cover it. If allowed is nil, all groups are allowed.
func (s *search) run(over span, p prices, allowed []bool) (found path, cost float64, ok bool) {
	s.initialize(over, p, allowed)
	for cut := over.from + 1; cut < over.to; cut++ {
		s.extend(cut, p, allowed)
	}
	last, cost := s.cheapestEnd(over, p)
	if last == noGroup {
		return nil, math.Inf(1), false
	}
	return s.backtrack(over, last), cost, true
}

// initialize sets the costs of the span's first segment.
func (s *search) initialize(over span, p prices, allowed []bool) {
	for index, grp := range s.g.groups {
		s.cost[index] = math.Inf(1)
		if !grp.covers(over.from) || !isAllowed(allowed, index) {
			continue
		}
		s.predecessor[over.from][index] = noGroup
		s.cost[index] = p.layer[index] * float64(s.g.segmentLayers(over.from))
		if over.before != noGroup {
			s.cost[index] += s.hop(over.before, index, p)
		}
	}
}

// extend continues the paths by the segment after the cut.
func (s *search) extend(cut int, p prices, allowed []bool) {
	s.relaxCentres(p)
	for index, grp := range s.g.groups {
		s.next[index] = math.Inf(1)
		if !grp.covers(cut) || !isAllowed(allowed, index) {
			continue
		}
		cost, predecessor := s.cheapestEntry(index, p)
		if s.cost[index] <= cost {
			cost, predecessor = s.cost[index], index
		}
		s.next[index] = cost + p.layer[index]*float64(s.g.segmentLayers(cut))
		s.predecessor[cut][index] = predecessor
	}
	s.cost, s.next = s.next, s.cost
}

// relaxCentres computes centreCost and centrePredecessor.
func (s *search) relaxCentres(p prices) {
	for centre := range s.centreCost {
		s.centreCost[centre], s.centrePredecessor[centre] = math.Inf(1), noGroup
	}
	for index, cost := range s.cost {
		if math.IsInf(cost, 1) {
			continue
		}
		for centre, best := range s.centreCost {
			if cost >= best {
				continue
			}
			if total := cost + p.hop(index, centre); total < best {
				s.centreCost[centre], s.centrePredecessor[centre] = total, index
			}
		}
	}
}

// cheapestEntry returns the least cost of a hop to the group, and the group where the hop starts.
func (s *search) cheapestEntry(index int, p prices) (float64, int) {
	grp := s.g.groups[index]
	if !grp.linkTarget {
		return s.centreCost[grp.centre], s.centrePredecessor[grp.centre]
	}
	best, predecessor := math.Inf(1), noGroup
	for from, cost := range s.cost {
		if cost >= best {
			continue
		}
		if total := cost + s.hop(from, index, p); total < best {
			best, predecessor = total, from
		}
	}
	return best, predecessor
}

func (s *search) hop(from, to int, p prices) float64 {
	if _, ok := s.g.groups[from].toGroup[to]; ok {
		return p.targetHop(from, to)
	}
	return p.hop(from, s.g.groups[to].centre)
}

// cheapestEnd returns the group with which the cheapest path ends, and its cost. The group is
// noGroup if no path covers the span.
func (s *search) cheapestEnd(over span, p prices) (int, float64) {
	last, best := noGroup, math.Inf(1)
	for index, cost := range s.cost {
		if over.after != noGroup && !math.IsInf(cost, 1) {
			cost += s.hop(index, over.after, p)
		}
		if cost < best {
			last, best = index, cost
		}
	}
	return last, best
}

// backtrack returns the path that ends with the given group.
func (s *search) backtrack(over span, last int) path {
	var legs path
	cuts := s.g.cuts
	current := leg{group: last, to: cuts[over.to]}
	for cut := over.to - 1; cut >= over.from; cut-- {
		predecessor := s.predecessor[cut][current.group]
		if predecessor == current.group {
			continue
		}
		current.from = cuts[cut]
		legs = append(legs, current)
		current = leg{group: predecessor, to: cuts[cut]}
	}
	for i, j := 0, len(legs)-1; i < j; i, j = i+1, j-1 {
		legs[i], legs[j] = legs[j], legs[i]
	}
	return legs
}

func (grp *group) covers(cut int) bool { return grp.from <= cut && cut < grp.to }

func isAllowed(allowed []bool, index int) bool { return allowed == nil || allowed[index] }
