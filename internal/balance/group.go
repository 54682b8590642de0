package balance

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualInterval is how many answers there are between two computations of
	// what is usual, at least.
	usualInterval = 32
	// usualWeight is the weight of the newest answer in a target's average time.
	usualWeight = 1.0 / 8
	// slowFloor is the time below which no answer counts as slow.
	slowFloor = 20 * time.Millisecond
)

// group holds the targets of a pool that can stand in for each other: the
// instances of a service, or the engines of a model version with the same layers.
type group struct {
	// usual holds the bits of the group's usual time of service in seconds.
	usual   atomic.Uint64
	answers atomic.Uint64

	mu      sync.Mutex // guards the field below and the changes of its targets' out
	targets []*target
}

func (g *group) setTargets(targets []*target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets = targets
}

// tryEject marks t as ejected unless that would pass the bound. At least one
// target always stays, even where all look bad: a bad target may answer, none
// never does, and what looks like the fault of all is likely not theirs.
func (g *group) tryEject(t *target, share float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := 0
	for _, other := range g.targets {
		if other != t && other.out.Load() {
			out++
		}
	}
	bound := min(max(int(share*float64(len(g.targets))), 1), len(g.targets)-1)
	if out >= bound && !t.balancer.settings.faults.noEjectBound {
		return false
	}
	t.out.Store(true)
	return true
}

// slow reports whether an answer of t is an outlier among the group's. The usual
// time is the lower median of the targets' averages, so that even one slow target
// of two does not pass for usual.
func (g *group) slow(t *target, took time.Duration, factor float64) bool {
	seconds := took.Seconds()
	average := math.Float64frombits(t.usual.Load())
	if average == 0 {
		average = seconds
	}
	t.usual.Store(math.Float64bits(average + (seconds-average)*usualWeight))
	g.noteAnswer()
	usual := math.Float64frombits(g.usual.Load())
	return usual > 0 && took > slowFloor && seconds > factor*usual
}

// noteAnswer computes anew what is usual, once for each usualInterval answers or
// as many as there are targets.
func (g *group) noteAnswer() {
	answers := g.answers.Add(1)
	if answers%usualInterval != 0 {
		return
	}
	g.mu.Lock()
	targets := g.targets
	g.mu.Unlock()
	if answers%uint64(max(len(targets)/usualInterval, 1)*usualInterval) != 0 {
		return
	}
	averages := make([]float64, 0, len(targets))
	for _, t := range targets {
		if average := math.Float64frombits(t.usual.Load()); average > 0 {
			averages = append(averages, average)
		}
	}
	if len(averages) == 0 {
		return
	}
	slices.Sort(averages)
	g.usual.Store(math.Float64bits(averages[(len(averages)-1)/2]))
}
