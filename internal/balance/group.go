package balance

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// medianInterval is the least number of answers between two computations of the median.
	medianInterval = 32
	// averageWeight is the weight of the newest answer in a target's average service time.
	averageWeight = 1.0 / 8
	// minSlowTime is the service time up to which no answer counts as slow.
	minSlowTime = 20 * time.Millisecond
)

// group holds the targets of a pool that can replace each other: the instances of a
// service, or the engines of a model version with the same layers.
type group struct {
	// serviceTime holds the bits of the lower median of the targets' average service times,
	// in seconds.
	serviceTime atomic.Uint64
	answers     atomic.Uint64

	mu      sync.Mutex // guards the field below and the changes of its targets' unhealthy
	targets []*target
}

func (g *group) setTargets(targets []*target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets = targets
}

// tryEject marks t as unhealthy unless too many targets are already. At least one target
// always stays, even if all seem to fail: a failing target may still answer while an empty
// group cannot, and a failure of all targets probably has another cause.
func (g *group) tryEject(t *target, share float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	unhealthy := 0
	for _, other := range g.targets {
		if other != t && other.unhealthy.Load() {
			unhealthy++
		}
	}
	bound := min(max(int(share*float64(len(g.targets))), 1), len(g.targets)-1)
	if unhealthy >= bound && !t.balancer.settings.faults.noEjectBound {
		return false
	}
	t.unhealthy.Store(true)
	return true
}

// recordAndCompare adds an answer of t to its average service time and reports whether the
// answer is an outlier: longer than factor times the group's median. The lower median is
// used so that one slow target of two does not set the standard.
func (g *group) recordAndCompare(t *target, took time.Duration, factor float64) bool {
	seconds := took.Seconds()
	average := math.Float64frombits(t.serviceTime.Load())
	if average == 0 {
		average = seconds
	}
	t.serviceTime.Store(math.Float64bits(average + (seconds-average)*averageWeight))
	g.countAnswer()
	serviceTime := math.Float64frombits(g.serviceTime.Load())
	return serviceTime > 0 && took > minSlowTime && seconds > factor*serviceTime
}

// countAnswer recomputes the median once for each medianInterval answers, or for as many
// answers as there are targets if that is more.
func (g *group) countAnswer() {
	answers := g.answers.Add(1)
	if answers%medianInterval != 0 {
		return
	}
	g.mu.Lock()
	targets := g.targets
	g.mu.Unlock()
	if answers%uint64(max(len(targets)/medianInterval, 1)*medianInterval) != 0 {
		return
	}
	averages := make([]float64, 0, len(targets))
	for _, t := range targets {
		if average := math.Float64frombits(t.serviceTime.Load()); average > 0 {
			averages = append(averages, average)
		}
	}
	if len(averages) == 0 {
		return
	}
	slices.Sort(averages)
	g.serviceTime.Store(math.Float64bits(averages[(len(averages)-1)/2]))
}
