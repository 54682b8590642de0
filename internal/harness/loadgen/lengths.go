package loadgen

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// Nine in ten lengths are lognormal about the median; the rest are Pareto above
	// twice the median, with a mean but no variance.
	tailShare  = 0.1
	bodySigma  = 0.7
	tailStart  = 2.0
	tailAlpha  = 1.5
	maxLengths = 50.0 // times the median
)

// lengths draws from a heavy-tailed distribution with about the given median.
type lengths struct {
	median float64
	random *rand.Rand
	body   distuv.LogNormal
	tail   distuv.Pareto
}

func newLengths(median int, random *rand.Rand) lengths {
	m := float64(median)
	return lengths{
		median: m,
		random: random,
		body:   distuv.LogNormal{Mu: math.Log(m), Sigma: bodySigma, Src: random},
		tail:   distuv.Pareto{Xm: tailStart * m, Alpha: tailAlpha, Src: random},
	}
}

func (l lengths) draw() int {
	value := l.body.Rand()
	if l.random.Float64() < tailShare {
		value = l.tail.Rand()
	}
	return max(1, int(math.Round(min(value, maxLengths*l.median))))
}
