package plan

import "math"

// packing is a packing linear program: maximize the sum of the columns' weights, which are not
// negative, such that no row exceeds 1. Columns are added as they are found, because there are far
// too many paths to list. It is solved by the revised simplex method with an explicit inverse of
// the basis. All weights zero is a feasible solution, so there is no first phase.
type packing struct {
	// limit is the right-hand side of the rows. Each is below 1 by less than perturbation and by a
	// different amount: with equal limits many pivots would be degenerate.
	limit []float64
	// basicColumn is the column of each row's basic variable, nil if that is a slack; slackOf is
	// the row of that slack.
	basicColumn []*column
	slackOf     []int
	// value is the value of the basic variable of each row.
	value []float64
	// inverse holds the columns of the inverse of the basis.
	inverse [][]float64
	// price is the dual value of each row.
	price []float64
	// direction is how much the basic variables fall per unit of the entering one.
	direction []float64
	// touched are the rows that a pivot changes.
	touched []int
}

const (
	perturbation = 1e-6
	tolerance    = 1e-9
)

func newPacking(size int) *packing {
	p := &packing{
		limit: make([]float64, size), basicColumn: make([]*column, size), slackOf: make([]int, size),
		value: make([]float64, size), inverse: make([][]float64, size),
		price: make([]float64, size), direction: make([]float64, size),
	}
	flat := make([]float64, size*size)
	for i := range size {
		// The fractional parts of the golden ratio's multiples are evenly distributed.
		part := float64(i+1) * 0.6180339887498949
		p.limit[i] = 1 - perturbation*(part-float64(int(part)))
		p.value[i] = p.limit[i]
		p.slackOf[i] = i
		p.inverse[i] = flat[i*size : (i+1)*size]
		p.inverse[i][i] = 1
	}
	return p
}

// cost returns the price of a column. If it is below 1, the column improves the objective.
func (p *packing) cost(c *column) float64 {
	total := 0.0
	for _, s := range c.coefficients {
		total += s.amount * p.price[s.row]
	}
	return total
}

// lowestPrice returns the row with the lowest price and that price. If it is negative, the row's
// slack improves the objective.
func (p *packing) lowestPrice() (int, float64) {
	worst, lowest := 0, p.price[0]
	for i, price := range p.price {
		if price < lowest {
			worst, lowest = i, price
		}
	}
	return worst, lowest
}

// enterColumn brings a column into the basis. It reports false if that fails, as pivot does.
func (p *packing) enterColumn(c *column) bool {
	clear(p.direction)
	for _, s := range c.coefficients {
		for i, entry := range p.inverse[s.row] {
			p.direction[i] += s.amount * entry
		}
	}
	return p.pivot(c, 0, 1-p.cost(c))
}

// enterSlack brings a row's slack into the basis. It reports false if that fails, as pivot does.
func (p *packing) enterSlack(row int) bool {
	copy(p.direction, p.inverse[row])
	return p.pivot(nil, row, -p.price[row])
}

// pivot replaces the basic variable that reaches zero first. It reports false if no variable does,
// which only rounding errors can cause.
func (p *packing) pivot(c *column, slack int, gain float64) bool {
	leaving := p.ratioTest()
	if leaving < 0 {
		return false
	}
	p.replaceRow(leaving, gain)
	p.basicColumn[leaving], p.slackOf[leaving] = c, slack
	return true
}

// ratioTest returns the row whose variable reaches zero first, -1 if none does. Among equal ones it
// returns that with the largest step, which keeps rounding errors small.
func (p *packing) ratioTest() int {
	least := math.Inf(1)
	for i, step := range p.direction {
		if step > tolerance {
			least = min(least, p.value[i]/step)
		}
	}
	leaving := -1
	for i, step := range p.direction {
		if step <= tolerance || p.value[i]/step > least+tolerance {
			continue
		}
		if leaving < 0 || step > p.direction[leaving] {
			leaving = i
		}
	}
	return leaving
}

// replaceRow updates inverse, values and prices. Most entries are zero, because a row whose slack
// is basic has only one.
func (p *packing) replaceRow(leaving int, gain float64) {
	divisor := p.direction[leaving]
	p.direction[leaving] = 0
	p.value[leaving] /= divisor
	p.touched = p.touched[:0]
	for i, factor := range p.direction {
		if factor == 0 {
			continue
		}
		p.touched = append(p.touched, i)
		p.value[i] = max(0, p.value[i]-factor*p.value[leaving])
	}
	for j, inverse := range p.inverse {
		if inverse[leaving] == 0 {
			continue
		}
		entry := inverse[leaving] / divisor
		inverse[leaving] = entry
		p.price[j] += gain * entry
		for _, i := range p.touched {
			inverse[i] -= p.direction[i] * entry
		}
	}
}

// columns returns the columns with a weight above zero and sets their weight.
func (p *packing) columns() []*column {
	var found []*column
	for i, c := range p.basicColumn {
		if c != nil && p.value[i] > tolerance {
			c.weight = p.value[i]
			found = append(found, c)
		}
	}
	return found
}
