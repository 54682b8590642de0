package balance

import "time"

// peerLoad is what one peer said last.
type peerLoad struct {
	received time.Time
	inFlight map[string]int
}

// PeerLoad takes what a peer has in flight at each target.
func (b *Balancer) PeerLoad(vm string, inFlight map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.setPeer(vm, peerLoad{received: now, inFlight: inFlight})
	for other, load := range b.peerLoad {
		if now.Sub(load.received) >= b.settings.PeerExpiry {
			b.setPeer(other, peerLoad{})
			delete(b.peerLoad, other)
		}
	}
}

func (b *Balancer) setPeer(vm string, load peerLoad) {
	before := b.peerLoad[vm]
	b.peerLoad[vm] = load
	for name, n := range load.inFlight {
		b.addPeers(name, n-before.inFlight[name])
	}
	for name, n := range before.inFlight {
		if _, still := load.inFlight[name]; !still {
			b.addPeers(name, -n)
		}
	}
}

func (b *Balancer) addPeers(name string, delta int) {
	t := b.states[name]
	if t == nil || delta == 0 {
		return
	}
	t.changeQuietly(func(now time.Time) { t.load.setPeers(now, delta) })
}
