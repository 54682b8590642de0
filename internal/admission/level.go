package admission

import "container/heap"

// level is the queue of one urgency in one pool: start-time fair queueing among
// workspaces. A flow's virtual start time moves by cost over weight with each
// request that starts, and the flow with the least one goes next, so two
// workspaces that both wait never drift apart by more than one request each.
type level struct {
	flows   map[string]*flow
	waiting flowHeap
	resumed waiterList
	// arrivals lists the requests of all flows.
	arrivals waiterList
	// virtual is the start time of the request that started last.
	virtual float64
	length  int
	cost    float64
	// weight sums the weights of the flows that wait.
	weight float64
	meter  meter
}

func newLevel() *level {
	return &level{
		flows:    map[string]*flow{},
		resumed:  waiterList{order: byTurn},
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
		f.start = max(f.start, l.virtual)
		heap.Push(&l.waiting, f)
		l.weight += f.weight
	}
}

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

// head returns the request that goes next, nil when none waits.
func (l *level) head() *waiter {
	if l.resumed.first != nil {
		return l.resumed.first
	}
	if len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[0].head()
}

// longer returns the newest request of the workspace that holds the most of the
// level for its weight, nil when that is no more than r's workspace would hold.
func (l *level) longer(r *Request) *waiter {
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

// charge moves the workspace's virtual time on for a request that starts.
func (l *level) charge(w *waiter) {
	if w.flow == nil {
		return
	}
	l.virtual = max(l.virtual, w.flow.start)
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
		l.retire(w.flow)
	}
}

// retire takes an empty flow out of the heap. It is forgotten once its virtual
// time has been reached; until then it is kept, as a workspace would else get
// ahead by leaving and coming back.
func (l *level) retire(f *flow) {
	heap.Remove(&l.waiting, f.index)
	l.weight -= f.weight
	if f.start <= l.virtual {
		delete(l.flows, f.workspace)
	}
}

// reset ends a busy period: with nobody waiting there is nothing to be fair about.
func (l *level) reset() {
	clear(l.flows)
	l.virtual = 0
	l.cost = 0
	l.weight = 0
}
