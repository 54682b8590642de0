package admission

import "time"

// ahead is the cost that starts before r if r were queued now. A workspace that
// is within its share waits for its own requests and for as much of the others
// as their weights allow, never for more than the whole level.
func (l *level) ahead(r *Request) float64 {
	if r.Resume {
		return 0
	}
	f := l.flows[r.Workspace]
	own := 0.0
	if f != nil {
		own = f.cost
	}
	return min(l.cost, (own+r.cost())*l.weights(f, r)/r.weight())
}

// weights sums the weights of the flows that wait, r's own included.
func (l *level) weights(f *flow, r *Request) float64 {
	total := l.weight
	if f == nil || f.index < 0 {
		total += r.weight()
	}
	return total
}

// hopeless returns the queued requests that cannot start in time, given the wait
// for the levels above. Within each class of a flow the cost ahead is counted
// exactly, that of other classes not at all, so the estimate is on the low side.
func (l *level) hopeless(now time.Time, above time.Duration) []*waiter {
	var found []*waiter
	for _, f := range l.waiting {
		for class := range f.classes {
			found = f.hopelessIn(class, l, now.Add(above), now, found)
		}
	}
	return found
}

func (f *flow) hopelessIn(class int, l *level, from, now time.Time, found []*waiter) []*waiter {
	ahead := 0.0
	for w := f.classes[class].first; w != nil; w = w.next {
		if w.lastStart.IsZero() {
			continue
		}
		share := min(ahead*l.weight/f.weight, l.cost)
		if from.Add(l.meter.wait(now, share)).After(w.lastStart) {
			found = append(found, w)
			continue
		}
		ahead += w.request.cost()
	}
	return found
}
