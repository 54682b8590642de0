package balance

import (
	"testing"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

// countHits returns how many of 20 requests with the prefixes go to t000.
func countHits(b *Balancer, prefixes ...uint64) (n int) {
	for range 20 {
		s, err := b.Pick(Query{Pool: "svc", Urgency: config.Urgent, Prefixes: prefixes})
		if err != nil {
			continue
		}
		if s.Target().Name == "t000" {
			n++
		}
		s.Release(ResultOK)
	}
	return n
}

// Requests with a prefix that an engine reports as cached go to that engine while it has free
// slots. Gaps in its events lower the trust in the hint until the view is read again, which
// also removes prefixes that are no longer cached.
func TestPrefixHintsLoseTrustAfterGaps(t *testing.T) {
	b := newBalancer(Settings{}, services(20, 4))
	b.CacheEvents("t000", engine.CacheEvents{Events: []engine.CacheEvent{{Seq: 1, Prefix: 7}}})
	if got := countHits(b, 7, 8); got != 20 {
		t.Errorf("%d of 20 requests went to the holder", got)
	}
	full, _ := b.Reserve("t000", config.Urgent)
	for range 3 {
		_, _ = b.Reserve("t000", config.Urgent)
	}
	if got := countHits(b, 7, 8); got != 0 {
		t.Errorf("%d requests went to the full holder", got)
	}
	full.Release(ResultOK)
	b.CacheEvents("t000", engine.CacheEvents{Events: []engine.CacheEvent{{Seq: 5, Prefix: 9}, {Seq: 9, Prefix: 10}}})
	if after, reread := b.CacheCursor("t000"); after != 0 || !reread {
		t.Errorf("after a gap: cursor %d, reread %t", after, reread)
	}
	if got := countHits(b, 7, 8); got == 20 {
		t.Error("all requests followed the hint in spite of the gaps and the load")
	}
	b.CacheView("t000", engine.CacheEvents{Events: []engine.CacheEvent{{Seq: 9, Prefix: 10}}})
	if found, _ := b.view.Load().pools["svc"].prefixes.find([]uint64{7}); found[0].valid() {
		t.Error("a prefix that the engine no longer holds was kept")
	}
	if after, reread := b.CacheCursor("t000"); after != 9 || reread {
		t.Errorf("after the view was read: cursor %d, reread %t", after, reread)
	}
}

// The events of an engine arrive twice because a request for them was repeated. A prefix that
// was cached and evicted must not be restored by the repetition.
func TestRepeatedCacheEventsChangeNothing(t *testing.T) {
	b := newBalancer(Settings{}, services(2, 4))
	cached := engine.CacheEvent{Seq: 1, Prefix: 7}
	b.CacheEvents("t000", engine.CacheEvents{Events: []engine.CacheEvent{cached, {Seq: 2, Prefix: 7, Evict: true}}})
	b.CacheEvents("t000", engine.CacheEvents{Events: []engine.CacheEvent{cached}})
	if found, _ := b.view.Load().pools["svc"].prefixes.find([]uint64{7}); found[0].valid() {
		t.Error("an evicted prefix was restored")
	}
	if after, reread := b.CacheCursor("t000"); after != 2 || reread {
		t.Errorf("cursor %d, reread %t", after, reread)
	}
}

// The engine reports that it has dropped events. An eviction may be among them, so its view
// must be read again.
func TestReportedGapLowersTrust(t *testing.T) {
	b := newBalancer(Settings{}, services(2, 4))
	b.CacheEvents("t000", engine.CacheEvents{Gap: true, Events: []engine.CacheEvent{{Seq: 40, Prefix: 7}}})
	if after, reread := b.CacheCursor("t000"); after != 0 || !reread {
		t.Errorf("cursor %d, reread %t", after, reread)
	}
}
