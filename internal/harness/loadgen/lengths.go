package loadgen

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// Nine in ten lengths have a lognormal distribution around the median. The others
	// have a Pareto distribution that starts at twice the median; with an exponent of
	// 1.5 it has a finite mean and an infinite variance.
	tailShare       = 0.1
	bodySigma       = 0.7
	tailStartFactor = 2.0
	tailAlpha       = 1.5
	maxLengthFactor = 50.0 // times the median
)

// lengthSampler draws lengths from a heavy-tailed distribution whose median is about
// the given one.
type lengthSampler struct {
	median float64
	random *rand.Rand
	body   distuv.LogNormal
	tail   distuv.Pareto
}

func newLengthSampler(median int, random *rand.Rand) lengthSampler {
	m := float64(median)
	return lengthSampler{
		median: m,
		random: random,
		body:   distuv.LogNormal{Mu: math.Log(m), Sigma: bodySigma, Src: random},
		tail:   distuv.Pareto{Xm: tailStartFactor * m, Alpha: tailAlpha, Src: random},
	}
}

// sample returns a length of at least 1 and at most maxLengthFactor times the median.
func (l lengthSampler) sample() int {
	value := l.body.Rand()
	if l.random.Float64() < tailShare {
		value = l.tail.Rand()
	}
	return max(1, int(math.Round(min(value, maxLengthFactor*l.median))))
}
