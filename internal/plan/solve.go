package plan

const (
	// targetGap is the gap to the bound, as a fraction of it, at which the search ends.
	targetGap = 0.005
	// maxPivots bounds the search. The weights that it has found by then are valid.
	maxPivots = 20_000
	// smoothing is the fraction of the stable prices in the smoothed ones.
	smoothing = 0.8
	// minSmoothing is the least fraction that is tried before the prices without smoothing.
	minSmoothing = 0.05
	// linkTieBreak is distributed over the prices of the links, so that among paths of the same
	// price the search prefers those that use links least.
	linkTieBreak = 1e-4
)

// solver finds the weights by column generation: with the prices of the rows, one search finds the
// path that improves the linear program most, and that path is added as a column.
//
// The prices of the linear program oscillate from one pivot to the next and are zero for most rows
// at first, so that the paths found with them are poor. The search therefore uses smoothed prices:
// a mix with the stable prices, which are those of the best bound so far.
type solver struct {
	g          *graph
	rows       *rows
	lp         *packing
	pathSearch *search
	// unit is the weight that counts as 1 in the linear program. It scales weights to about 1, which
	// keeps rounding errors small.
	unit float64
	// bound is the least upper bound so far, in units; the layer bound is 1. boundPrices are the
	// prices that prove it: at them every path costs at least 1.
	bound        float64
	boundPrices  []float64
	stablePrices []float64
	smoothed     []float64
	// unitPrice is the result of perUnit.
	unitPrice []float64
	pivots    int
}

func newSolver(g *graph) *solver {
	r := g.newRows()
	s := &solver{
		g: g, rows: r, lp: newPacking(len(r.list)), pathSearch: newSearch(g), unit: g.layerBound(),
		boundPrices: make([]float64, len(r.list)), stablePrices: make([]float64, len(r.list)), smoothed: make([]float64, len(r.list)),
		unitPrice: make([]float64, len(r.list)),
	}
	s.resetBound()
	copy(s.stablePrices, s.boundPrices)
	return s
}

// layerBound returns the rate of all engines divided by the layers that each token needs.
func (g *graph) layerBound() float64 {
	total := 0.0
	for _, grp := range g.groups {
		total += grp.capacity()
	}
	return total / float64(g.model.Layers)
}

// resetBound sets the bound to the layer bound, which is proved by the same price for a layer on
// every engine.
func (s *solver) resetBound() {
	s.bound = 1
	clear(s.boundPrices)
	total := s.unit * float64(s.g.model.Layers)
	for i, grp := range s.g.groups {
		s.boundPrices[i] = grp.capacity() / total
	}
}

// solve first searches paths that are cut at the ends of ranges, which are few. If some link has a
// row, it then searches paths that are cut anywhere, because only these prove the bound.
func (s *solver) solve() {
	s.iterate()
	if len(s.rows.list) == len(s.g.groups) {
		return
	}
	s.resetBound()
	s.pathSearch = newSearch(s.g.refined())
	s.iterate()
}

// iterate adds paths until there is no better one or maxPivots is reached.
func (s *solver) iterate() {
	for ; s.pivots < maxPivots; s.pivots++ {
		if row, price := s.lp.lowestPrice(); price < -tolerance {
			if !s.lp.enterSlack(row) {
				return
			}
			continue
		}
		if !s.addImprovingPath() {
			return
		}
	}
}

// addImprovingPath adds a path that costs less than 1. It reports false if there is none or the gap
// to the bound is at most targetGap.
func (s *solver) addImprovingPath() bool {
	for ratio := smoothing; ; ratio /= 2 {
		if ratio < minSmoothing {
			ratio = 0
		}
		legs, ok := s.cheapest(ratio)
		if !ok || s.totalWeight() >= s.bound*(1-targetGap) {
			return false
		}
		c := s.column(s.g.mergeRevisits(legs, s.g.memberCount))
		if s.lp.cost(c) < 1-tolerance {
			return s.lp.enterColumn(c)
		}
		if ratio == 0 {
			return false
		}
	}
}

// cheapest finds the cheapest path at the smoothed prices and tightens the bound with it. ratio is
// the fraction of the stable prices.
func (s *solver) cheapest(ratio float64) (path, bool) {
	for i, price := range s.lp.price {
		s.smoothed[i] = ratio*s.stablePrices[i] + (1-ratio)*max(0, price)
	}
	links := s.smoothed[len(s.g.groups):]
	for i := range links {
		links[i] += linkTieBreak / float64(len(links))
	}
	legs, cost, ok := s.pathSearch.run(s.pathSearch.g.whole(), s.g.rowPrices(s.rows, s.perUnit(s.smoothed)), nil)
	if ok {
		s.tightenBound(s.smoothed, cost)
	}
	return legs, ok
}

// tightenBound lowers the bound if the prices prove a lower one: scaled until every path costs at
// least 1, they are a feasible solution of the dual program, and their sum is an upper bound. It
// holds for every path, including those that were never searched.
func (s *solver) tightenBound(price []float64, cheapest float64) {
	total := 0.0
	for _, p := range price {
		total += p
	}
	if cheapest <= 0 || total/cheapest >= s.bound {
		return
	}
	s.bound = total / cheapest
	for i, p := range price {
		s.boundPrices[i] = p / cheapest
	}
	copy(s.stablePrices, s.boundPrices)
}

// totalWeight returns the sum of the columns' weights, in units.
func (s *solver) totalWeight() float64 {
	total := 0.0
	for i, c := range s.lp.basicColumn {
		if c != nil {
			total += s.lp.value[i]
		}
	}
	return total
}

// perUnit converts prices of whole rows into prices of one unit of their capacity. The result is
// valid until the next call.
func (s *solver) perUnit(price []float64) []float64 {
	for i, p := range price {
		s.unitPrice[i] = p * s.unit / s.rows.list[i].capacity
	}
	return s.unitPrice
}

// column returns the column of a path.
func (s *solver) column(legs path) *column {
	coefficients := s.g.coefficients(s.rows, legs)
	for i := range coefficients {
		coefficients[i].amount *= s.unit / s.rows.list[coefficients[i].row].capacity
	}
	return &column{legs: legs, coefficients: coefficients}
}
