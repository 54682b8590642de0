package balance

import (
	"math"
	"time"

	"geraniumcroft/internal/engine"
)

const (
	// gapTrustFactor multiplies the trust in an engine's view after a gap in its events.
	gapTrustFactor = 0.5
	// rereadThreshold is the trust below which the engine's view must be read again.
	rereadThreshold = 0.6
)

// cacheView is what this VM knows of the prefixes that one engine has cached.
type cacheView struct {
	// seq is the number of the last event that was applied.
	seq       uint64
	trust     float64
	updatedAt time.Time
}

// CacheEvents applies a part of an engine's log of cached prefixes. Events that were already
// applied are ignored. A gap lowers the trust in the engine's view until the view is read
// again, because an eviction may be missing.
func (b *Balancer) CacheEvents(name string, e engine.CacheEvents) {
	t := b.view.Load().targets[name]
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := &t.cache
	if v.updatedAt.IsZero() {
		v.trust = 1
	}
	v.updatedAt = time.Now()
	if e.Gap {
		v.trust *= gapTrustFactor
	}
	for _, event := range e.Events {
		t.applyCacheEvent(event, e.Gap)
	}
	t.publishCacheTrust()
}

// applyCacheEvent applies one event to the prefix index. GapKnown means that the engine
// itself reported the gap before the event. t.mu is held.
func (t *target) applyCacheEvent(event engine.CacheEvent, gapKnown bool) {
	v := &t.cache
	if event.Seq <= v.seq {
		return
	}
	if event.Seq > v.seq+1 && v.seq > 0 && !gapKnown {
		v.trust *= gapTrustFactor
	}
	v.seq = event.Seq
	index := t.prefixes.Load()
	if event.Evict {
		index.remove(event.Prefix, t)
		return
	}
	index.add(event.Prefix, holder{target: t, generation: t.cacheGeneration.Load()})
}

// CacheView replaces what is known of the engine's cached prefixes by all events that the
// engine still has, which restores the trust in the view.
func (b *Balancer) CacheView(name string, e engine.CacheEvents) {
	t := b.view.Load().targets[name]
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cacheGeneration.Add(1)
	t.cache = cacheView{trust: 1, updatedAt: time.Now()}
	for _, event := range e.Events {
		t.applyCacheEvent(event, true)
	}
	t.publishCacheTrust()
}

// CacheCursor returns the number of the event after which to ask the engine for more. If
// reread is set, the whole view must be read from 0 and passed to CacheView.
func (b *Balancer) CacheCursor(name string) (after uint64, reread bool) {
	t := b.view.Load().targets[name]
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cache.trust < rereadThreshold {
		return 0, true
	}
	return t.cache.seq, false
}

// publishCacheTrust copies the trust to the atomics that Pick reads. t.mu is held.
func (t *target) publishCacheTrust() {
	t.cacheTrust.Store(math.Float64bits(t.cache.trust))
	t.cacheUpdatedAt.Store(t.cache.updatedAt.UnixNano())
}

// hintTrust returns how far a hint about a prefix cached by t is trusted, from 0 to 1.
func (t *target) hintTrust(now time.Time, s *Settings) float64 {
	updatedAt := t.cacheUpdatedAt.Load()
	if updatedAt == 0 {
		return 0
	}
	age := float64(now.UnixNano()-updatedAt) / float64(s.PrefixTrustDecay)
	return math.Float64frombits(t.cacheTrust.Load()) * max(0, 1-age)
}
