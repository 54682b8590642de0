package balance

import "time"

// minHolderTrust is the trust below which a hint about a cached prefix is not returned.
const minHolderTrust = 0.25

// PrefixHolders returns the names of the pool's targets that have the longest cached prefix of
// a prompt, as far as is known and trusted, nil if there are none. Prefixes are as in Query.
func (b *Balancer) PrefixHolders(pool string, prefixes []uint64) map[string]bool {
	p := b.view.Load().pools[pool]
	if p == nil || len(prefixes) == 0 {
		return nil
	}
	found, _ := p.prefixes.find(prefixes)
	now := time.Now()
	var names map[string]bool
	for _, h := range found {
		if !h.valid() || h.target.hintTrust(now, &b.settings) < minHolderTrust {
			continue
		}
		if names == nil {
			names = make(map[string]bool, holdersPerPrefix)
		}
		names[h.target.name] = true
	}
	return names
}
