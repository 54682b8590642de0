package balance

import (
	"time"

	"geraniumcroft/internal/config"
)

// claimDuration is how long a VM claims its share of a pool after it found no slot there.
const claimDuration = time.Second

// InFlight returns the number of requests that this VM has in flight at each target, without
// zeros, for its peers. In a pool where it recently found no slot it claims its share of
// each target if it has less. Without the claim the first VM would keep all slots: it
// replaces each of its requests that ends, because the zero counts of its peers show no
// demand, and the requests of the peers would wait or be refused.
func (b *Balancer) InFlight() map[string]int {
	now := time.Now()
	inFlight := map[string]int{}
	v := b.view.Load()
	for name, t := range v.targets {
		n := int(t.inFlight.Load())
		if b.claimsShare(v.pools[PoolName(t.config.Load())], now) {
			n = max(n, t.claimedSlots(now))
		}
		if n > 0 {
			inFlight[name] = n
		}
	}
	return inFlight
}

// claimsShare reports whether this VM claims its share of the pool's slots.
func (b *Balancer) claimsShare(p *pool, now time.Time) bool {
	lastDenied := p.lastDenied.Load()
	return lastDenied != 0 && now.Sub(time.Unix(0, lastDenied)) < claimDuration && b.peers() > 1 && !b.settings.faults.noClaims
}

// claimedSlots returns this VM's share of the slots that bulk requests may use.
func (t *target) claimedSlots(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed(now) != "" {
		return 0
	}
	return t.allotted.share(t.openSlots(config.Bulk, t.slots(now)))
}

// recordDenied records that a request found no slot on the target.
func (b *Balancer) recordDenied(t *target, now time.Time) {
	if p := b.view.Load().pools[PoolName(t.config.Load())]; p != nil {
		p.recordDenied(now)
	}
}

// recordDenied records that a request found no slot in the pool.
func (p *pool) recordDenied(now time.Time) { p.lastDenied.Store(now.UnixNano()) }
