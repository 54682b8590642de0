package plan

// prices define the cost of a path: the cost of one layer for each group, and the cost of the link
// for each hop. None is negative.
type prices struct {
	layer []float64
	// hop returns the cost of going from a group to a data centre.
	hop func(from, centre int) float64
	// targetHop returns the cost of going over a link that names the group's target.
	targetHop func(from, to int) float64
}

// hopOverhead is the cost of a hop besides its link, in seconds. It prevents needless hops.
const hopOverhead = 20e-6

// latencyPrices returns prices in seconds, with which the cheapest path is the one of the least
// latency of a token.
func (g *graph) latencyPrices() prices {
	layer := make([]float64, len(g.groups))
	for index, grp := range g.groups {
		layer[index] = 1 / grp.rate
	}
	return prices{
		layer:     layer,
		hop:       func(from, centre int) float64 { return g.groups[from].toCentre[centre].latency + hopOverhead },
		targetHop: func(from, to int) float64 { return g.groups[from].toGroup[to].latency + hopOverhead },
	}
}

// rowPrices returns the prices of layers and hops by the rows that they use. price is that of one
// unit of each row's capacity.
func (g *graph) rowPrices(r *rows, price []float64) prices {
	of := func(row int) float64 {
		if row == noRow {
			return 0
		}
		return price[row]
	}
	return prices{
		layer:     price[:len(g.groups)],
		hop:       func(from, centre int) float64 { return of(r.centreRow[from][centre]) },
		targetHop: func(from, to int) float64 { return of(r.targetRow[[2]int{from, to}]) },
	}
}
