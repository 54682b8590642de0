package admission

import "sync"

// inHand counts requests in hand by name, for the limits of workspaces and
// profiles. Names without a limit are not counted.
type inHand struct {
	mu     sync.Mutex // guards counts
	counts map[string]int
}

func newInHand() *inHand { return &inHand{counts: map[string]int{}} }

// enter counts one more unless the limit is reached.
func (h *inHand) enter(name string, limit int) bool {
	if limit <= 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts[name] >= limit {
		return false
	}
	h.counts[name]++
	return true
}

func (h *inHand) leave(name string, limit int) {
	if limit <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[name]--
	if h.counts[name] <= 0 {
		delete(h.counts, name)
	}
}

func (h *inHand) snapshot() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	copied := make(map[string]int, len(h.counts))
	for name, count := range h.counts {
		copied[name] = count
	}
	return copied
}
