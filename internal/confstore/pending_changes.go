package confstore

import "sync"

// maxPendingChanges is the maximum number of unresolved attempts that are kept.
const maxPendingChanges = 256

// pendingChanges holds the newest maxPendingChanges attempts that could not be resolved
// in time, by the change's id. It is safe for concurrent use.
type pendingChanges struct {
	mu    sync.Mutex // guards the fields below
	byID  map[string]attempt
	order []string // ids, oldest first
}

// put adds the attempt and removes the oldest one if there are too many.
func (p *pendingChanges) put(id string, a attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID == nil {
		p.byID = map[string]attempt{}
	}
	if _, known := p.byID[id]; !known {
		p.order = append(p.order, id)
	}
	p.byID[id] = a
	if len(p.order) > maxPendingChanges {
		delete(p.byID, p.order[0])
		p.order = p.order[1:]
	}
}

// get returns the attempt of the change with the id.
func (p *pendingChanges) get(id string) (attempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.byID[id]
	return a, ok
}
