package confstore

import "sync"

const maxPendingChanges = 256

// pendingChanges remembers the attempts that could not be settled, by the
// change's id, the newest maxPendingChanges of them.
type pendingChanges struct {
	mu    sync.Mutex // guards the fields below
	byID  map[string]attempt
	order []string
}

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

func (p *pendingChanges) get(id string) (attempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.byID[id]
	return a, ok
}
