package plan

import "math"

const noGroup = -1

// search finds the cheapest path by dynamic programming over the cuts. It keeps
// its arrays between calls, so one search is not for concurrent use.
type search struct {
	g *graph
	// cost is the cheapest way to have done the layers up to the present cut with
	// the group last; origin[cut][group] is the group before, itself when it went on.
	cost, next []float64
	origin     [][]int
	byCentre   []float64
	centreFrom []int
}

func newSearch(g *graph) *search {
	s := &search{
		g:          g,
		cost:       make([]float64, len(g.groups)),
		next:       make([]float64, len(g.groups)),
		origin:     make([][]int, len(g.cuts)),
		byCentre:   make([]float64, len(g.centres)),
		centreFrom: make([]int, len(g.centres)),
	}
	flat := make([]int, len(g.cuts)*len(g.groups))
	for cut := range s.origin {
		s.origin[cut] = flat[cut*len(g.groups) : (cut+1)*len(g.groups)]
	}
	return s
}

// run returns the cheapest path over the span and its cost; ok is false when
// the allowed groups do not cover it. A nil allowed takes all groups.
func (s *search) run(over span, p prices, allowed []bool) (found path, cost float64, ok bool) {
	s.start(over, p, allowed)
	for cut := over.from + 1; cut < over.to; cut++ {
		s.step(cut, p, allowed)
	}
	last, cost := s.cheapest(over, p)
	if last == noGroup {
		return nil, math.Inf(1), false
	}
	return s.trace(over, last), cost, true
}

func (s *search) start(over span, p prices, allowed []bool) {
	for index, grp := range s.g.groups {
		s.cost[index] = math.Inf(1)
		if !grp.covers(over.from) || !permitted(allowed, index) {
			continue
		}
		s.origin[over.from][index] = noGroup
		s.cost[index] = p.layer[index] * float64(s.g.segmentLayers(over.from))
		if over.before != noGroup {
			s.cost[index] += s.hop(over.before, index, p)
		}
	}
}

func (s *search) step(cut int, p prices, allowed []bool) {
	s.relaxCentres(p)
	for index, grp := range s.g.groups {
		s.next[index] = math.Inf(1)
		if !grp.covers(cut) || !permitted(allowed, index) {
			continue
		}
		cost, origin := s.enter(index, p)
		if s.cost[index] <= cost {
			cost, origin = s.cost[index], index
		}
		s.next[index] = cost + p.layer[index]*float64(s.g.segmentLayers(cut))
		s.origin[cut][index] = origin
	}
	s.cost, s.next = s.next, s.cost
}

// relaxCentres finds the cheapest way into each data centre.
func (s *search) relaxCentres(p prices) {
	for centre := range s.byCentre {
		s.byCentre[centre], s.centreFrom[centre] = math.Inf(1), noGroup
	}
	for index, cost := range s.cost {
		if math.IsInf(cost, 1) {
			continue
		}
		for centre, best := range s.byCentre {
			if cost >= best {
				continue
			}
			if total := cost + p.hop(index, centre); total < best {
				s.byCentre[centre], s.centreFrom[centre] = total, index
			}
		}
	}
}

func (s *search) enter(index int, p prices) (float64, int) {
	grp := s.g.groups[index]
	if !grp.named {
		return s.byCentre[grp.centre], s.centreFrom[grp.centre]
	}
	best, origin := math.Inf(1), noGroup
	for from, cost := range s.cost {
		if cost >= best {
			continue
		}
		if total := cost + s.hop(from, index, p); total < best {
			best, origin = total, from
		}
	}
	return best, origin
}

func (s *search) hop(from, to int, p prices) float64 {
	if _, ok := s.g.groups[from].toGroup[to]; ok {
		return p.namedHop(from, to)
	}
	return p.hop(from, s.g.groups[to].centre)
}

func (s *search) cheapest(over span, p prices) (int, float64) {
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

func (s *search) trace(over span, last int) path {
	var legs path
	cuts := s.g.cuts
	current := leg{group: last, to: cuts[over.to]}
	for cut := over.to - 1; cut >= over.from; cut-- {
		origin := s.origin[cut][current.group]
		if origin == current.group {
			continue
		}
		current.from = cuts[cut]
		legs = append(legs, current)
		current = leg{group: origin, to: cuts[cut]}
	}
	for i, j := 0, len(legs)-1; i < j; i, j = i+1, j-1 {
		legs[i], legs[j] = legs[j], legs[i]
	}
	return legs
}

func (grp *group) covers(cut int) bool { return grp.from <= cut && cut < grp.to }

func permitted(allowed []bool, index int) bool { return allowed == nil || allowed[index] }
