package relay

import (
	"slices"
	"sync"

	"geraniumcroft/internal/layers"
)

// runTally counts the replicas that may have run one request. A replica may run a request although it
// never responds. It is safe for concurrent use.
type runTally struct {
	mu sync.Mutex // guards the fields below
	// responded counts the replicas that have responded to the request.
	responded int
	// pending is set from the start of a send until the replica responds or the send ends.
	pending bool
	// unanswered are the replicas that may have got the request and did not respond.
	unanswered []layers.Replica
}

// beginSend records that the request is being sent.
func (t *runTally) beginSend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = true
}

// recordResponse records that the replica has responded.
func (t *runTally) recordResponse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = false
	t.responded++
}

// recordNoResponse records that the send has ended without a response. If the send was discounted
// before, the replica does not count.
func (t *runTally) recordNoResponse(replica layers.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending {
		t.unanswered = append(t.unanswered, replica)
	}
	t.pending = false
}

// discount records that the current send does not count as a run: the replica did not run the request,
// or this VM is cut off from it.
func (t *runTally) discount() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = false
}

// count returns the number of replicas that may have run the request.
func (t *runTally) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.responded + len(t.unanswered)
	if t.pending {
		n++
	}
	return n
}

// reached reports whether limit replicas may have run the request. Only if it seems so, the replicas
// that did not respond are queried by ended; those that have ended do not count any more.
func (t *runTally) reached(limit int, ended func(layers.Replica) bool) bool {
	if t.count() < limit {
		return false
	}
	t.mu.Lock()
	unanswered := slices.Clone(t.unanswered)
	t.mu.Unlock()
	for _, replica := range unanswered {
		if ended(replica) {
			t.forget(replica)
		}
	}
	return t.count() >= limit
}

// forget removes a replica that did not respond.
func (t *runTally) forget(replica layers.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unanswered = slices.DeleteFunc(t.unanswered, func(r layers.Replica) bool { return r.Key() == replica.Key() })
}
