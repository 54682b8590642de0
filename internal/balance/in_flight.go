package balance

import (
	"time"

	"geraniumcroft/internal/config"
)

// claimTime is how long a VM claims its share of a pool after it found no slot.
const claimTime = time.Second

// InFlight returns what this VM has in flight at each target that has any, for
// the peers. In a pool where it lately found no slot it claims its share of each
// target if it has less. Without the claim a VM that was first would replace each
// request of its that ends and keep all slots, as its peers' counts, which are
// zero, tell it that nobody else wants any; theirs would wait or be refused.
func (b *Balancer) InFlight() map[string]int {
	now := time.Now()
	inFlight := map[string]int{}
	v := b.view.Load()
	for name, t := range v.targets {
		n := int(t.inFlight.Load())
		if b.claims(v.pools[PoolOf(t.config.Load())], now) {
			n = max(n, t.claim(now))
		}
		if n > 0 {
			inFlight[name] = n
		}
	}
	return inFlight
}

func (b *Balancer) claims(p *pool, now time.Time) bool {
	denied := p.denied.Load()
	return denied != 0 && now.Sub(time.Unix(0, denied)) < claimTime && b.peers() > 1 && !b.settings.faults.noClaims
}

// claim is this VM's share of the target's slots that bulk may take.
func (t *target) claim(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed(now) != "" {
		return 0
	}
	return t.part.share(t.open(config.Bulk, t.slots(now)))
}

// noteDenied records that a request found no slot on the target.
func (b *Balancer) noteDenied(t *target, now time.Time) {
	if p := b.view.Load().pools[PoolOf(t.config.Load())]; p != nil {
		p.noteDenied(now)
	}
}

// noteDenied records that a request found no slot in the pool.
func (p *pool) noteDenied(now time.Time) { p.denied.Store(now.UnixNano()) }
