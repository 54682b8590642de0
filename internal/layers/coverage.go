package layers

import "geraniumcroft/internal/config"

// uncoveredRoom stands for the room of a layer that nobody holds, in requests. It keeps
// the shortage finite, and far above that of any layer with room for one request.
const uncoveredRoom = 0.05

// coverage is how many usual requests the replicas of a group have room for at each
// layer.
type coverage struct {
	spec *Spec
	room []float64
}

func newCoverage(spec *Spec) *coverage {
	return &coverage{spec: spec, room: make([]float64, spec.Layers)}
}

// add adds or, with sign -1, takes away what a card gives with a range.
func (c *coverage) add(k Accelerator, held config.LayerRange, sign float64) {
	for l := max(0, held.From); l < min(held.To, c.spec.Layers); l++ {
		c.room[l] += sign * c.requestsAt(k, held.Len(), l)
	}
}

// requests is how many usual requests fit beside n layers of a card.
func (c *coverage) requests(k Accelerator, n int) float64 {
	return c.spec.room(k, n) / c.spec.meanTokens()
}

// requestsAt is requests for one of the layers. Those that enter at a card are bounded by
// its slots too: the first event of one more waits until another request has ended.
func (c *coverage) requestsAt(k Accelerator, n, layer int) float64 {
	room := c.requests(k, n)
	if layer == 0 && c.spec.Slots > 0 {
		return min(room, float64(c.spec.Slots))
	}
	return room
}

// layersFor is how many layers a card holds beside room for so many requests.
func (c *coverage) layersFor(k Accelerator, room float64) int {
	perLayer := c.spec.LayerMB + room*c.spec.meanTokens()*c.spec.KVBytes/float64(c.spec.Layers)/1e6
	return min(c.spec.maxLayers(k), int(k.MemoryMB/perLayer))
}

// roomFor is the room for requests that the cards can have and still hold the model
// with some of it doubled.
func (c *coverage) roomFor(set []Replica, l layout) float64 {
	const steps = 1.1
	for _, wanted := range []float64{l.redundancy, 1} {
		for room := l.room; room >= minRoom; room /= steps {
			held := 0
			for _, r := range set {
				held += c.layersFor(c.spec.kind(r.Kind), room)
			}
			if float64(held) >= wanted*float64(c.spec.Layers) {
				return room
			}
		}
	}
	return minRoom
}

// shortage says how badly the layers are covered: the sum of what one more request
// finds taken at each layer. A layer with little room weighs most, as every request
// passes through it, and a hole outweighs everything.
func (c *coverage) shortage() float64 {
	sum := 0.0
	for _, room := range c.room {
		sum += layerShortage(room)
	}
	return sum
}

func layerShortage(room float64) float64 { return 1 / (max(0, room) + uncoveredRoom) }

// bestRange returns the range for a card, whose present range is not counted in c, that
// leaves the least shortage, and that shortage.
func (c *coverage) bestRange(k Accelerator) (config.LayerRange, float64) {
	return c.bestAllowed(k, config.LayerRange{}, func(config.LayerRange) bool { return true })
}

// bestWider is best among the ranges that contain the present one, which it returns where
// none is better.
func (c *coverage) bestWider(k Accelerator, held config.LayerRange) (config.LayerRange, float64) {
	return c.bestAllowed(k, held, func(r config.LayerRange) bool { return r.Contains(held) })
}

// bestNarrower is best among the parts of the present range, which it returns where none is
// better.
func (c *coverage) bestNarrower(k Accelerator, held config.LayerRange) (config.LayerRange, float64) {
	return c.bestAllowed(k, held, held.Contains)
}

// bestAllowed returns the range with the least shortage among those that are allowed, or the
// present one where none is better.
func (c *coverage) bestAllowed(k Accelerator, held config.LayerRange, allowed func(config.LayerRange) bool) (config.LayerRange, float64) {
	before := c.shortageSums(0)
	total := before[c.spec.Layers]
	with := func(r config.LayerRange, sums []float64) float64 {
		return total - (before[r.To] - before[r.From]) + (sums[r.To] - sums[r.From])
	}
	best, least := held, total
	if held.Len() > 0 {
		least = with(held, c.shortageSums(c.requests(k, held.Len())))
	}
	for n := 1; n <= c.spec.maxLayers(k); n++ {
		room := c.requests(k, n)
		if room < 1 {
			break
		}
		sums := c.shortageSums(room)
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

// hasGap reports whether nobody holds some layer of the range.
func (c *coverage) hasGap(held config.LayerRange) bool {
	for l := max(0, held.From); l < min(held.To, c.spec.Layers); l++ {
		if c.room[l] < uncoveredRoom {
			return true
		}
	}
	return false
}

// shortageSums returns the running shortageSums of the shortage if every layer had more room.
func (c *coverage) shortageSums(more float64) []float64 {
	sums := make([]float64, c.spec.Layers+1)
	for l, room := range c.room {
		sums[l+1] = sums[l] + layerShortage(room+more)
	}
	return sums
}
