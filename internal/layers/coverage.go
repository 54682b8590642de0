package layers

import "geraniumcroft/internal/config"

// coverage is how many tokens of context the replicas of a group have room for at
// each layer.
type coverage struct {
	spec *Spec
	room []float64
}

func newCoverage(spec *Spec) *coverage {
	return &coverage{spec: spec, room: make([]float64, spec.Layers)}
}

func (c *coverage) add(k Kind, held config.LayerRange) {
	room := c.spec.room(k, held.Len())
	for l := max(0, held.From); l < min(held.To, c.spec.Layers); l++ {
		c.room[l] += room
	}
}

// neediest returns the range for a card that holds nothing: the one whose layers
// have the least room. A hole, which has none, always wins.
func (c *coverage) neediest(spec *Spec, k Kind) config.LayerRange {
	n := max(1, int(weightShare*k.MemoryMB/spec.LayerMB))
	n = min(n, spec.maxLayers(k))
	best, bestLow, bestSum := 0, -1.0, 0.0
	for from := 0; from+n <= spec.Layers; from++ {
		low, sum := c.over(from, n)
		better := bestLow < 0 || low < bestLow || low == bestLow && sum < bestSum
		if better {
			best, bestLow, bestSum = from, low, sum
		}
	}
	return config.LayerRange{From: best, To: best + n}
}

func (c *coverage) over(from, n int) (low, sum float64) {
	low = c.room[from]
	for l := from; l < from+n; l++ {
		low = min(low, c.room[l])
		sum += c.room[l]
	}
	return low, sum
}
