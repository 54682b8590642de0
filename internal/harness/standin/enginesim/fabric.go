package enginesim

import (
	"sync"
	"time"
)

// Fabric delivers messages between engines in this process and models the delay of
// the links between them. It is safe for concurrent use.
type Fabric struct {
	link LinkFunc

	mu      sync.RWMutex // guards the fields below
	engines map[string]*Engine
	busy    map[linkKey]time.Time
}

// NewFabric returns a fabric. If link is nil, messages arrive without delay.
func NewFabric(link LinkFunc) *Fabric {
	return &Fabric{link: link, engines: map[string]*Engine{}, busy: map[linkKey]time.Time{}}
}

// Register makes an engine reachable at an address.
func (f *Fabric) Register(address string, e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[address] = e
}

// Unregister makes an address unreachable.
func (f *Fabric) Unregister(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.engines, address)
}

// Engine returns the engine at an address, or nil if none is reachable there.
func (f *Fabric) Engine(address string) *Engine {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.engines[address]
}

// arrival returns the time at which a message has arrived that leaves at the given
// time and has the given size. Messages on one link are sent one after the other.
func (f *Fabric) arrival(from, to string, leaves time.Time, bytes int) time.Time {
	if f.link == nil || from == to {
		return leaves
	}
	latency, bandwidth := f.link(from, to)
	if bandwidth <= 0 {
		return leaves.Add(latency)
	}
	transfer := time.Duration(float64(bytes) / bandwidth * float64(time.Second))
	key := linkKey{from: from, to: to}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[key].After(leaves) {
		leaves = f.busy[key]
	}
	f.busy[key] = leaves.Add(transfer)
	return f.busy[key].Add(latency)
}
