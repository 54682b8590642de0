package admission

import "time"

// classBounds are the upper bounds of the time that a request of each deadline
// class had left when it was queued; the last class has no bound.
var classBounds = [...]time.Duration{time.Second, 5 * time.Second, 30 * time.Second}

const classCount = len(classBounds) + 1

func classOf(left time.Duration) int {
	for class, bound := range classBounds {
		if left <= bound {
			return class
		}
	}
	return classCount - 1
}

// flow is one workspace's queue at one level.
type flow struct {
	workspace string
	weight    float64
	classes   [classCount]waiterList
	costs     [classCount]float64
	length    int
	// start is the virtual time at which the flow's next request is due.
	start float64
	// index is the flow's place in the level's heap, -1 while it has no request.
	index int
}

func (f *flow) push(w *waiter) {
	f.classes[w.class].push(w)
	f.costs[w.class] += w.request.cost()
	f.length++
}

func (f *flow) remove(w *waiter) {
	f.classes[w.class].remove(w)
	f.costs[w.class] -= w.request.cost()
	f.length--
}

// costUpTo sums the cost of the classes up to that one.
func (f *flow) costUpTo(class int) float64 {
	total := 0.0
	for _, cost := range f.costs[:class+1] {
		total += cost
	}
	return total
}

// head returns the request that goes next: the classes are first in, first out
// and the head that must start the soonest goes before the other heads.
func (f *flow) head() *waiter {
	var best *waiter
	for class := range f.classes {
		w := f.classes[class].first
		if w != nil && (best == nil || w.lastStart.Before(best.lastStart)) {
			best = w
		}
	}
	return best
}

// newest returns the request that was queued last.
func (f *flow) newest() *waiter {
	var newest *waiter
	for class := range f.classes {
		w := f.classes[class].last
		if w != nil && (newest == nil || w.queuedAt.After(newest.queuedAt)) {
			newest = w
		}
	}
	return newest
}
