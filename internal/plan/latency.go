package plan

// hopOverhead is what a hop costs besides its link, in seconds; it keeps paths
// from hopping for nothing.
const hopOverhead = 20e-6

// latencyPrices make the cheapest path the one on which a token arrives soonest.
func (g *graph) latencyPrices() prices {
	layer := make([]float64, len(g.groups))
	for index, grp := range g.groups {
		layer[index] = 1 / grp.rate
	}
	return prices{
		layer:    layer,
		hop:      func(from, zone int) float64 { return g.groups[from].toZone[zone].latency + hopOverhead },
		namedHop: func(from, to int) float64 { return g.groups[from].toGroup[to].latency + hopOverhead },
	}
}
