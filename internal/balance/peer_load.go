package balance

import (
	"maps"
	"time"
)

// PeerLoad sets what a peer has in flight at each target. It stays in effect until the next
// call for that peer: a peer with only long streams has no changes to send. When a peer is
// gone the caller must pass nil. A dead peer has no requests, and its last counts would
// otherwise close slots here forever.
func (b *Balancer) PeerLoad(vm string, inFlight map[string]int) {
	for pool := range b.takePeerLoad(vm, inFlight) {
		b.notifyFreedPool(pool)
	}
}

// takePeerLoad applies the counts and returns the pools in which a limit rose.
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

// addPeers adds delta to the peers' requests at a target. It adds the target's pool to
// opened if a limit rose. b.mu is held.
func (b *Balancer) addPeers(name string, delta int, opened map[string]bool) {
	t := b.targetStates[name]
	if t == nil || delta == 0 {
		return
	}
	if t.apply(func(now time.Time) { t.load.addPeerRequests(now, delta) }) {
		opened[PoolName(t.config.Load())] = true
	}
}
