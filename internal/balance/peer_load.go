package balance

import "time"

// peerLoad is what one peer said last.
type peerLoad struct {
	received time.Time
	inFlight map[string]int
}

// PeerLoad takes what a peer has in flight at each target.
func (b *Balancer) PeerLoad(vm string, inFlight map[string]int) {
	for pool := range b.takePeerLoad(vm, inFlight) {
		b.freedPool(pool)
	}
}

// takePeerLoad returns the pools in which it made room.
func (b *Balancer) takePeerLoad(vm string, inFlight map[string]int) (opened map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	opened = map[string]bool{}
	b.setPeer(vm, peerLoad{received: now, inFlight: inFlight}, opened)
	for other, load := range b.peerLoad {
		if now.Sub(load.received) >= b.settings.PeerExpiry {
			b.setPeer(other, peerLoad{}, opened)
			delete(b.peerLoad, other)
		}
	}
	return opened
}

func (b *Balancer) setPeer(vm string, load peerLoad, opened map[string]bool) {
	before := b.peerLoad[vm]
	b.peerLoad[vm] = load
	for name, n := range load.inFlight {
		b.addPeers(name, n-before.inFlight[name], opened)
	}
	for name, n := range before.inFlight {
		if _, still := load.inFlight[name]; !still {
			b.addPeers(name, -n, opened)
		}
	}
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
