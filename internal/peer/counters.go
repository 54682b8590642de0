package peer

// Counters count the events of a node since it started.
type Counters struct {
	Syncs           uint64 `json:"syncs"`
	Pushes          uint64 `json:"pushes"`
	Probes          uint64 `json:"probes"`
	IndirectProbes  uint64 `json:"indirectProbes"`
	Suspicions      uint64 `json:"suspicions"`
	Reconnects      uint64 `json:"reconnects"`
	FailedCalls     uint64 `json:"failedCalls"`
	Dropped         uint64 `json:"dropped"`
	ChangesReceived uint64 `json:"changesReceived"`
	Snapshots       uint64 `json:"snapshots"`
}

// count increments one of the counters. The caller must not hold n.mu.
func (n *Node) count(field func(*Counters) *uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*field(&n.counters)++
}

// Counters returns a copy of the counters.
func (n *Node) Counters() Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counters
}
