package plan

const (
	// gapWanted ends the search when the weights reach this share below the bound.
	gapWanted = 0.005
	// maxPivots bounds the search; what it has found by then is still valid.
	maxPivots = 20_000
	// steadiness is the share of the steady prices in those that are searched with.
	steadiness = 0.8
	// minSteadiness ends the search for a path at mixed prices.
	minSteadiness = 0.05
	// hopTie is spread over the links' prices, so that among paths of the same price
	// the search prefers those that load links least.
	hopTie = 1e-4
)

// solver finds the weights by column generation: the prices of the limits tell,
// by one search, which path is worth the most, and that path joins the programme.
//
// The programme's own prices swing from one pivot to the next, and for most
// limits they are zero at first, so that the paths that they ask for are poor.
// The search therefore uses a mix with the steady prices, those of the best
// bound so far.
type solver struct {
	g      *graph
	rows   *rows
	lp     *packing
	finder *search
	// unit scales weights to about 1, which keeps rounding errors small.
	unit float64
	// bound is the least upper bound so far, in units; the layer bound is 1. proof
	// are the prices that prove it: at them every path costs at least 1.
	bound  float64
	proof  []float64
	steady []float64
	mixed  []float64
	// unitPrice is mixed for one unit of capacity.
	unitPrice []float64
	pivots    int
}

func newSolver(g *graph) *solver {
	r := g.newRows()
	s := &solver{
		g: g, rows: r, lp: newPacking(len(r.list)), finder: newSearch(g), unit: g.layerBound(),
		proof: make([]float64, len(r.list)), steady: make([]float64, len(r.list)), mixed: make([]float64, len(r.list)),
		unitPrice: make([]float64, len(r.list)),
	}
	s.startBound()
	copy(s.steady, s.proof)
	return s
}

// layerBound is the rate of all engines over the layers that each token needs.
func (g *graph) layerBound() float64 {
	total := 0.0
	for _, grp := range g.groups {
		total += grp.capacity()
	}
	return total / float64(g.model.Layers)
}

// startBound begins with the layer bound, which the same price for a layer on
// every engine proves.
func (s *solver) startBound() {
	s.bound = 1
	clear(s.proof)
	total := s.unit * float64(s.g.model.Layers)
	for i, grp := range s.g.groups {
		s.proof[i] = grp.capacity() / total
	}
}

// solve looks at paths between the ends of ranges first, which are few, and then,
// where links limit anything, at those that are cut anywhere: only these prove
// the bound.
func (s *solver) solve() {
	s.improveAll()
	if len(s.rows.list) == len(s.g.groups) {
		return
	}
	s.startBound()
	s.finder = newSearch(s.g.refined())
	s.improveAll()
}

func (s *solver) improveAll() {
	for ; s.pivots < maxPivots; s.pivots++ {
		if row, price := s.lp.worstPrice(); price < -tolerance {
			if !s.lp.enterSlack(row) {
				return
			}
			continue
		}
		if !s.improve() {
			return
		}
	}
}

// improve adds a path that is worth more than its price; it reports false when
// there is none or the gap to the bound is as small as wanted.
func (s *solver) improve() bool {
	for share := steadiness; ; share /= 2 {
		if share < minSteadiness {
			share = 0
		}
		legs, ok := s.cheapest(share)
		if !ok || s.sum() >= s.bound*(1-gapWanted) {
			return false
		}
		c := s.column(s.g.mergeRevisits(legs, s.g.memberCount))
		if s.lp.cost(c) < 1-tolerance {
			return s.lp.enterColumn(c)
		}
		if share == 0 {
			return false
		}
	}
}

// cheapest finds the cheapest path at the mixed prices.
func (s *solver) cheapest(share float64) (path, bool) {
	for i, price := range s.lp.price {
		s.mixed[i] = share*s.steady[i] + (1-share)*max(0, price)
	}
	links := s.mixed[len(s.g.groups):]
	for i := range links {
		links[i] += hopTie / float64(len(links))
	}
	legs, cost, ok := s.finder.run(s.finder.g.whole(), s.g.rowPrices(s.rows, s.perUnit(s.mixed)), nil)
	if ok {
		s.tighten(s.mixed, cost)
	}
	return legs, ok
}

// tighten uses prices as a proof: scaled until every path costs at least 1, they
// are a solution of the dual programme, and their sum is an upper bound. It holds
// for every path, also for those that were never looked at.
func (s *solver) tighten(price []float64, cheapest float64) {
	total := 0.0
	for _, p := range price {
		total += p
	}
	if cheapest <= 0 || total/cheapest >= s.bound {
		return
	}
	s.bound = total / cheapest
	for i, p := range price {
		s.proof[i] = p / cheapest
	}
	copy(s.steady, s.proof)
}

func (s *solver) sum() float64 {
	total := 0.0
	for i, c := range s.lp.basic {
		if c != nil {
			total += s.lp.value[i]
		}
	}
	return total
}

// perUnit turns prices of whole rows into prices of one unit of their capacity.
func (s *solver) perUnit(price []float64) []float64 {
	for i, p := range price {
		s.unitPrice[i] = p * s.unit / s.rows.list[i].capacity
	}
	return s.unitPrice
}

func (s *solver) column(legs path) *column {
	shares := s.g.shares(s.rows, legs)
	for i := range shares {
		shares[i].amount *= s.unit / s.rows.list[shares[i].row].capacity
	}
	return &column{legs: legs, shares: shares}
}
