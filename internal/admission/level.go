package admission

import "container/heap"

// level is the queue of one urgency in one pool. It implements start-time fair
// queueing among workspaces: each start advances the virtual start time of its flow by
// cost divided by weight, and the flow with the lowest virtual start time is next. The
// service received by two workspaces that both wait therefore never differs by more
// than one request of each, relative to their weights.
type level struct {
	flows   map[string]*flow
	waiting flowHeap
	// resumed holds the requests with Request.Resume, which go before all flows.
	resumed waiterList
	// arrivals holds the requests of all flows in the order of arrival.
	arrivals waiterList
	// virtualTime is the virtual start time of the request that started last.
	virtualTime float64
	length      int
	cost        float64
	// weight is the total weight of the nonempty flows.
	weight float64
	meter  meter
}

func newLevel() *level {
	return &level{
		flows:    map[string]*flow{},
		resumed:  waiterList{order: byStartOrder},
		arrivals: waiterList{order: byArrival},
	}
}

func (l *level) push(w *waiter) {
	l.length++
	l.cost += w.request.cost()
	if w.request.Resume {
		l.resumed.push(w)
		return
	}
	l.arrivals.push(w)
	f := l.flowOf(w.request)
	w.flow = f
	f.push(w)
	if f.index < 0 {
		f.start = max(f.start, l.virtualTime)
		heap.Push(&l.waiting, f)
		l.weight += f.weight
	}
}

// flowOf returns the flow of the workspace of r, which it creates if needed. The weight
// of a flow changes only while it is empty.
func (l *level) flowOf(r *Request) *flow {
	f := l.flows[r.Workspace]
	if f == nil {
		f = &flow{workspace: r.Workspace, index: -1}
		l.flows[r.Workspace] = f
	}
	if f.index < 0 {
		f.weight = r.weight()
	}
	return f
}

// head returns the next request, nil if none waits.
func (l *level) head() *waiter {
	if l.resumed.first != nil {
		return l.resumed.first
	}
	if len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[0].head()
}

// newestOverShare returns the newest request of the workspace with the most queued
// requests relative to its weight. It returns nil if no workspace has more than the
// workspace of r would have with r added.
func (l *level) newestOverShare(r *Request) *waiter {
	own := 1.0
	if f := l.flows[r.Workspace]; f != nil {
		own += float64(f.length)
	}
	most := own / r.weight()
	var longest *flow
	for _, f := range l.waiting {
		if held := float64(f.length) / f.weight; held > most {
			most, longest = held, f
		}
	}
	if longest == nil {
		return nil
	}
	return longest.newest()
}

// charge advances the virtual start time of the flow of a request that starts. Resumed
// requests are not charged.
func (l *level) charge(w *waiter) {
	if w.flow == nil {
		return
	}
	l.virtualTime = max(l.virtualTime, w.flow.start)
	w.flow.start += w.request.cost() / w.flow.weight
	if w.flow.index >= 0 {
		heap.Fix(&l.waiting, w.flow.index)
	}
}

func (l *level) remove(w *waiter) {
	l.length--
	l.cost -= w.request.cost()
	if w.flow == nil {
		l.resumed.remove(w)
	} else {
		l.removeFromFlow(w)
	}
	if l.length == 0 {
		l.reset()
	}
}

func (l *level) removeFromFlow(w *waiter) {
	l.arrivals.remove(w)
	w.flow.remove(w)
	if w.flow.length == 0 {
		l.deactivate(w.flow)
	}
}

// deactivate removes an empty flow from the heap. The flow is deleted if the virtual
// time has reached its start. Otherwise it is kept, so that a workspace cannot gain an
// advantage by emptying its queue and returning.
func (l *level) deactivate(f *flow) {
	heap.Remove(&l.waiting, f.index)
	l.weight -= f.weight
	if f.start <= l.virtualTime {
		delete(l.flows, f.workspace)
	}
}

// reset clears the state of the fair queueing when the level becomes empty.
func (l *level) reset() {
	clear(l.flows)
	l.virtualTime = 0
	l.cost = 0
	l.weight = 0
}
