package plan

// prices are the cost of a path: for each group the cost of one layer, and for
// each hop the cost of the link. All are zero or more.
type prices struct {
	layer []float64
	// hop returns the cost of going from a group to a data centre.
	hop func(from, centre int) float64
	// namedHop returns the cost of going to a group that links name.
	namedHop func(from, to int) float64
}

// hopOverhead is what a hop costs besides its link, in seconds; it keeps paths
// from hopping for nothing.
const hopOverhead = 20e-6

// latencyPrices make the cheapest path the one on which a token arrives soonest;
// they are in seconds.
func (g *graph) latencyPrices() prices {
	layer := make([]float64, len(g.groups))
	for index, grp := range g.groups {
		layer[index] = 1 / grp.rate
	}
	return prices{
		layer:    layer,
		hop:      func(from, centre int) float64 { return g.groups[from].toCentre[centre].latency + hopOverhead },
		namedHop: func(from, to int) float64 { return g.groups[from].toGroup[to].latency + hopOverhead },
	}
}

// rowPrices give layers and hops the prices of the limits that they use; price is
// that of one unit of each limit.
func (g *graph) rowPrices(r *rows, price []float64) prices {
	of := func(row int) float64 {
		if row == noRow {
			return 0
		}
		return price[row]
	}
	return prices{
		layer:    price[:len(g.groups)],
		hop:      func(from, centre int) float64 { return of(r.centreRow[from][centre]) },
		namedHop: func(from, to int) float64 { return of(r.namedRow[[2]int{from, to}]) },
	}
}
