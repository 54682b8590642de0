package balance

import (
	"maps"
	"time"
)

// PeerLoad takes what a peer has in flight at each target. It holds until the next
// call for that peer, however long that takes: a peer with nothing but long streams
// has no change to tell. Whoever notices that the peer is gone says so with nil; a
// peer that died holds no slots, and without that its last counts would close them
// here for good.
func (b *Balancer) PeerLoad(vm string, inFlight map[string]int) {
	for pool := range b.takePeerLoad(vm, inFlight) {
		b.freedPool(pool)
	}
}

// takePeerLoad returns the pools in which it made room.
func (b *Balancer) takePeerLoad(vm string, inFlight map[string]int) (opened map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	opened = map[string]bool{}
	before := b.peerLoad[vm]
	for name, n := range inFlight {
		b.addPeers(name, n-before[name], opened)
	}
	for name, n := range before {
		if _, still := inFlight[name]; !still {
			b.addPeers(name, -n, opened)
		}
	}
	if len(inFlight) == 0 {
		delete(b.peerLoad, vm)
	} else {
		b.peerLoad[vm] = maps.Clone(inFlight)
	}
	return opened
}

func (b *Balancer) addPeers(name string, delta int, opened map[string]bool) {
	t := b.states[name]
	if t == nil || delta == 0 {
		return
	}
	if t.changeQuietly(func(now time.Time) { t.load.setPeers(now, delta) }) {
		opened[PoolOf(t.config.Load())] = true
	}
}
