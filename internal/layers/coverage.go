package layers

import "geraniumcroft/internal/config"

// uncoveredCapacity is the capacity, in requests, that is assumed for a layer without a holder.
// It keeps the shortage finite, but far above that of a layer with capacity for one request.
const uncoveredCapacity = 0.05

// coverage is the capacity of a group of replicas for each layer, in mean requests.
type coverage struct {
	spec     *Spec
	capacity []float64
}

func newCoverage(spec *Spec) *coverage {
	return &coverage{spec: spec, capacity: make([]float64, spec.Layers)}
}

// add adds the capacity of a card that holds a range or, with sign -1, subtracts it.
func (c *coverage) add(k Accelerator, held config.LayerRange, sign float64) {
	for l := max(0, held.From); l < min(held.To, c.spec.Layers); l++ {
		c.capacity[l] += sign * c.requestsAt(k, held.Len(), l)
	}
}

// requests returns how many mean requests fit on a card in addition to n layers.
func (c *coverage) requests(k Accelerator, n int) float64 {
	return c.spec.tokenCapacity(k, n) / c.spec.meanTokens()
}

// requestsAt returns requests for one of the layers. At the first layer the slots of the
// card are a limit too: a request beyond them gets its first event only after another one
// has ended.
func (c *coverage) requestsAt(k Accelerator, n, layer int) float64 {
	capacity := c.requests(k, n)
	if layer == 0 && c.spec.Slots > 0 {
		return min(capacity, float64(c.spec.Slots))
	}
	return capacity
}

// layersFor returns how many layers a card can hold in addition to the given number of
// requests.
func (c *coverage) layersFor(k Accelerator, capacity float64) int {
	perLayer := c.spec.LayerMB + capacity*c.spec.meanTokens()*c.spec.KVBytes/float64(c.spec.Layers)/1e6
	return min(c.spec.maxLayers(k), int(k.MemoryMB/perLayer))
}

// capacityFor returns for how many mean requests each card keeps memory free: the layout's
// capacity, reduced in steps until the cards can hold the model with the layout's
// redundancy, or once if that is impossible. It is at least minCapacity, unless a layer would
// then be left out that fits beside a single request.
func (c *coverage) capacityFor(set []Replica, l layout) float64 {
	for _, step := range []struct{ redundancy, least float64 }{{l.redundancy, minCapacity}, {1, minCapacity}, {1, 1}} {
		if capacity, ok := c.reducedCapacity(set, l.capacity, step.least, step.redundancy); ok {
			return capacity
		}
	}
	return minCapacity
}

// reducedCapacity returns the largest capacity, of those from one down to the least, with which the cards
// can hold the model a number of times, and whether there is one.
func (c *coverage) reducedCapacity(set []Replica, capacity, least, times float64) (float64, bool) {
	const shrinkFactor = 1.1
	for ; ; capacity = max(least, capacity/shrinkFactor) {
		held := 0
		for _, r := range set {
			held += c.layersFor(c.spec.kind(r.Kind), capacity)
		}
		if float64(held) >= times*float64(c.spec.Layers) {
			return capacity, true
		}
		if capacity <= least {
			return 0, false
		}
	}
}

// shortage measures how badly the layers are covered: the sum over the layers of the
// inverse of their capacity. A layer with little capacity weighs most, as every request
// passes through it, and a gap outweighs everything else.
func (c *coverage) shortage() float64 {
	sum := 0.0
	for _, capacity := range c.capacity {
		sum += c.spec.layerShortage(capacity)
	}
	return sum
}

// layerShortage returns the shortage of a layer with the given capacity: its inverse, or where the
// bottleneck counts the third power of that. A sum of inverses hardly tells a layer with half of the
// capacity from 80 others, and cards then narrow to where they add capacity that no request can use.
// With a higher power, a layer without a holder would hide the differences between the others.
func (s *Spec) layerShortage(capacity float64) float64 {
	inverse := 1 / (max(0, capacity) + uncoveredCapacity)
	if s.PlaceForBottleneck {
		return inverse * inverse * inverse
	}
	return inverse
}

// bestRange returns the range for a card that leaves the least shortage, and that shortage.
// The card's present range must not be counted in c.
func (c *coverage) bestRange(k Accelerator) (config.LayerRange, float64) {
	return c.bestAllowed(k, config.LayerRange{}, func(config.LayerRange) bool { return true })
}

// bestWider is bestRange among the ranges that contain the present one. It returns the
// present range if none is better.
func (c *coverage) bestWider(k Accelerator, held config.LayerRange) (config.LayerRange, float64) {
	return c.bestAllowed(k, held, func(r config.LayerRange) bool { return r.Contains(held) })
}

// bestNarrower is bestRange among the parts of the present range. It returns the present
// range if none is better.
func (c *coverage) bestNarrower(k Accelerator, held config.LayerRange) (config.LayerRange, float64) {
	return c.bestAllowed(k, held, held.Contains)
}

// bestAllowed returns the allowed range with the least shortage, or the present one if none
// is better.
func (c *coverage) bestAllowed(k Accelerator, held config.LayerRange, allowed func(config.LayerRange) bool) (config.LayerRange, float64) {
	before := c.sums(0)
	total := before[c.spec.Layers]
	with := func(r config.LayerRange, sums []float64) float64 {
		return total - (before[r.To] - before[r.From]) + (sums[r.To] - sums[r.From])
	}
	best, least := held, total
	if held.Len() > 0 {
		least = with(held, c.sums(c.requests(k, held.Len())))
	}
	for n := 1; n <= c.spec.maxLayers(k); n++ {
		capacity := c.requests(k, n)
		if capacity < 1 {
			break
		}
		sums := c.sums(capacity)
		for from := 0; from+n <= c.spec.Layers; from++ {
			r := config.LayerRange{From: from, To: from + n}
			if !allowed(r) {
				continue
			}
			if shortage := with(r, sums); shortage < least {
				best, least = r, shortage
			}
		}
	}
	return best, least
}

// hasGap reports whether some layer of the range has no holder.
func (c *coverage) hasGap(held config.LayerRange) bool {
	for l := max(0, held.From); l < min(held.To, c.spec.Layers); l++ {
		if c.capacity[l] < uncoveredCapacity {
			return true
		}
	}
	return false
}

// sums returns the prefix sums of the shortage if every layer had more capacity.
func (c *coverage) sums(more float64) []float64 {
	sums := make([]float64, c.spec.Layers+1)
	for l, capacity := range c.capacity {
		sums[l+1] = sums[l] + c.spec.layerShortage(capacity+more)
	}
	return sums
}
