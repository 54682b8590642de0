package balance

import (
	"math"
	"time"

	"geraniumcroft/internal/engine"
)

const (
	// gapTrust is what a gap in an engine's events leaves of the trust in its view.
	gapTrust = 0.5
	// rereadTrust is the trust below which the engine's view is to be read again.
	rereadTrust = 0.6
)

// cacheView is what this VM knows of one engine's cached prefixes.
type cacheView struct {
	// seq is the number of the last event taken.
	seq   uint64
	trust float64
	heard time.Time
}

// CacheEvents takes a part of an engine's log of cached prefixes. Events that
// were taken already are passed over. A gap lowers the trust in the engine's view
// until the view is read again: an eviction may have been among what is missing.
func (b *Balancer) CacheEvents(name string, e engine.CacheEvents) {
	t := b.view.Load().targets[name]
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := &t.cache
	if v.heard.IsZero() {
		v.trust = 1
	}
	v.heard = time.Now()
	if e.Gap {
		v.trust *= gapTrust
	}
	for _, event := range e.Events {
		t.takeCacheEvent(event, e.Gap)
	}
	t.storeCacheTrust()
}

func (t *target) takeCacheEvent(event engine.CacheEvent, gapKnown bool) {
	v := &t.cache
	if event.Seq <= v.seq {
		return
	}
	if event.Seq > v.seq+1 && v.seq > 0 && !gapKnown {
		v.trust *= gapTrust
	}
	v.seq = event.Seq
	index := t.prefixes.Load()
	if event.Evict {
		index.remove(event.Prefix, t)
		return
	}
	index.add(event.Prefix, holder{target: t, generation: t.cacheGeneration.Load()})
}

// CacheView replaces what is known of the engine's cached prefixes by all events
// that the engine still has, which restores the trust in it.
func (b *Balancer) CacheView(name string, e engine.CacheEvents) {
	t := b.view.Load().targets[name]
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cacheGeneration.Add(1)
	t.cache = cacheView{trust: 1, heard: time.Now()}
	for _, event := range e.Events {
		t.takeCacheEvent(event, true)
	}
	t.storeCacheTrust()
}

// CacheCursor says from which event on to ask the engine, and whether its view is
// to be read again: then ask from 0 and give the answer to CacheView.
func (b *Balancer) CacheCursor(name string) (after uint64, reread bool) {
	t := b.view.Load().targets[name]
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cache.trust < rereadTrust {
		return 0, true
	}
	return t.cache.seq, false
}

func (t *target) storeCacheTrust() {
	t.cacheTrust.Store(math.Float64bits(t.cache.trust))
	t.cacheHeard.Store(t.cache.heard.UnixNano())
}

// hintTrust is how far a prefix hint about t is believed.
func (t *target) hintTrust(now time.Time, s *Settings) float64 {
	heard := t.cacheHeard.Load()
	if heard == 0 {
		return 0
	}
	age := float64(now.UnixNano()-heard) / float64(s.PrefixTrustDecay)
	return math.Float64frombits(t.cacheTrust.Load()) * max(0, 1-age)
}
