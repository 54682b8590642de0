package balance

import "geraniumcroft/internal/engine"

// CacheEvents takes a part of an engine's log of cached prefixes.
func (b *Balancer) CacheEvents(name string, e engine.CacheEvents) {}
