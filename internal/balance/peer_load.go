package balance

import "time"

// peerSweeps is how often silent peers are looked for in PeerExpiry.
const peerSweeps = 4

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
	opened = map[string]bool{}
	b.setPeer(vm, peerLoad{received: time.Now(), inFlight: inFlight}, opened)
	b.scheduleExpiry()
	return opened
}

// scheduleExpiry arms the timer that drops what silent peers said. A peer that
// died holds no slots; without the timer its last counts would close them here
// for good if no other peer is heard either. b.mu is held.
func (b *Balancer) scheduleExpiry() {
	if len(b.peerLoad) == 0 || b.expiring {
		return
	}
	b.expiring = true
	time.AfterFunc(b.settings.PeerExpiry/peerSweeps, b.expirePeers)
}

func (b *Balancer) expirePeers() {
	for pool := range b.dropSilentPeers() {
		b.freedPool(pool)
	}
}

func (b *Balancer) dropSilentPeers() (opened map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	opened = map[string]bool{}
	now := time.Now()
	b.expiring = false
	for vm, load := range b.peerLoad {
		if now.Sub(load.received) >= b.settings.PeerExpiry {
			b.setPeer(vm, peerLoad{}, opened)
			delete(b.peerLoad, vm)
		}
	}
	b.scheduleExpiry()
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
