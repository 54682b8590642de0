package admission

import "time"

// classBounds holds, by deadline class, the upper bound of the time that a request
// had left to start when it was queued. The last class has no bound.
var classBounds = [...]time.Duration{time.Second, 5 * time.Second, 30 * time.Second}

const classCount = len(classBounds) + 1

// classOf returns the deadline class for the time left to start.
func classOf(left time.Duration) int {
	for class, bound := range classBounds {
		if left <= bound {
			return class
		}
	}
	return classCount - 1
}

// flow is the queue of one workspace at one level.
type flow struct {
	workspace string
	weight    float64
	classes   [classCount]waiterList
	costs     [classCount]float64
	length    int
	// start is the virtual start time of the next request.
	start float64
	// index is the position in the heap of the level, -1 while the flow is empty.
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

// costUpTo returns the total cost of the classes up to and including class.
func (f *flow) costUpTo(class int) float64 {
	total := 0.0
	for _, cost := range f.costs[:class+1] {
		total += cost
	}
	return total
}

// head returns the next request, nil if there is none. Each class is first in, first
// out; of the first requests of all classes, the one with the earliest start deadline
// is next. Of work-conserving requests the newest is next: in an overload each of them
// would otherwise start only just before its start deadline, and then often be late.
func (f *flow) head() *waiter {
	if newest := f.newest(); newest != nil && newest.request.WorkConserving {
		return newest
	}
	var best *waiter
	for class := range f.classes {
		w := f.classes[class].first
		if w != nil && (best == nil || w.startDeadline.Before(best.startDeadline)) {
			best = w
		}
	}
	return best
}

// newest returns the request that was queued last, nil if there is none.
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
