package balance

import (
	"testing"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

// hits counts how many of 20 requests with that prefix go to t000.
func hits(b *Balancer, prefixes ...uint64) (n int) {
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

// An engine says that it holds a prefix. Requests with it go there while it has
// room. After gaps in its events it is believed less, until its view is read again
// and what it no longer holds is forgotten.
func TestPrefixHintsAreBelievedWithinReason(t *testing.T) {
	b := newBalancer(Settings{}, services(20, 4))
	b.CacheEvents("t000", engine.CacheEvents{Events: []engine.CacheEvent{{Seq: 1, Prefix: 7}}})
	if got := hits(b, 7, 8); got != 20 {
		t.Errorf("%d of 20 requests went to the holder", got)
	}
	full, _ := b.Reserve("t000", config.Urgent)
	for range 3 {
		_, _ = b.Reserve("t000", config.Urgent)
	}
	if got := hits(b, 7, 8); got != 0 {
		t.Errorf("%d requests went to the full holder", got)
	}
	full.Release(ResultOK)
	b.CacheEvents("t000", engine.CacheEvents{Events: []engine.CacheEvent{{Seq: 5, Prefix: 9}, {Seq: 9, Prefix: 10}}})
	if after, reread := b.CacheCursor("t000"); after != 0 || !reread {
		t.Errorf("after a gap: from %d, read again %t", after, reread)
	}
	if got := hits(b, 7, 8); got == 20 {
		t.Error("the hint was believed in spite of the gaps and the load")
	}
	b.CacheView("t000", engine.CacheEvents{Events: []engine.CacheEvent{{Seq: 9, Prefix: 10}}})
	if found, _ := b.view.Load().pools["svc"].prefixes.find([]uint64{7}); found[0].valid() {
		t.Error("a prefix that the engine no longer holds was kept")
	}
	if after, reread := b.CacheCursor("t000"); after != 9 || reread {
		t.Errorf("after reading: from %d, read again %t", after, reread)
	}
}

// An engine's events come twice, as an answer was asked for again. A prefix that was
// cached and evicted does not come back by the repetition.
func TestRepeatedCacheEventsChangeNothing(t *testing.T) {
	b := newBalancer(Settings{}, services(2, 4))
	cached := engine.CacheEvent{Seq: 1, Prefix: 7}
	b.CacheEvents("t000", engine.CacheEvents{Events: []engine.CacheEvent{cached, {Seq: 2, Prefix: 7, Evict: true}}})
	b.CacheEvents("t000", engine.CacheEvents{Events: []engine.CacheEvent{cached}})
	if found, _ := b.view.Load().pools["svc"].prefixes.find([]uint64{7}); found[0].valid() {
		t.Error("an evicted prefix came back")
	}
	if after, reread := b.CacheCursor("t000"); after != 2 || reread {
		t.Errorf("from %d, read again %t", after, reread)
	}
}

// The engine says itself that it has dropped events. An eviction may have been among
// them, so its view is read again.
func TestGapThatTheEngineTellsLowersTrust(t *testing.T) {
	b := newBalancer(Settings{}, services(2, 4))
	b.CacheEvents("t000", engine.CacheEvents{Gap: true, Events: []engine.CacheEvent{{Seq: 40, Prefix: 7}}})
	if after, reread := b.CacheCursor("t000"); after != 0 || !reread {
		t.Errorf("from %d, read again %t", after, reread)
	}
}
