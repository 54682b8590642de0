package balance

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
)

// A peer fills a target with long streams and sends no change for a minute. Its slots must
// remain taken here for all that time. When the peer is found dead they become free, and
// waiting requests are notified.
func TestPeersWordHoldsUntilItIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(Settings{}, services(1, 4))
		b.SetSubset(2, 0)
		var freed atomic.Int64
		b.OnFree(func(string) { freed.Add(1) })
		b.PeerLoad("peer", map[string]int{"t000": 4})
		time.Sleep(time.Minute)
		if got := len(pickAll(b, config.Urgent)); got != 2 {
			t.Errorf("%d slots beside a full peer, want the share of 2", got)
		}
		b.PeerLoad("peer", nil)
		if freed.Load() != 1 {
			t.Errorf("OnFree was called %d times", freed.Load())
		}
		if got := len(pickAll(b, config.Urgent)); got != 2 {
			t.Errorf("%d more slots after the peer was gone, want 2", got)
		}
	})
}

// A peer learns of a new target before this VM does and reports its requests there. They count
// as soon as this VM knows the target, and nothing remains when the peer is gone.
func TestPeersWordOfATargetNotYetKnown(t *testing.T) {
	b := newBalancer(Settings{}, services(1, 4))
	b.SetSubset(4, 0)
	b.PeerLoad("peer", map[string]int{"t001": 3})
	b.Update(services(2, 4))
	if got := b.Dump().(Dump).Targets[1].Others; got != 3 {
		t.Errorf("others have %.0f at the new target, want 3", got)
	}
	b.PeerLoad("peer", nil)
	if got := b.Dump().(Dump).Targets[1].Others; got != 0 {
		t.Errorf("others have %.0f after the end, want 0", got)
	}
}
