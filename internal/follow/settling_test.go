package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// The store goes out and entries lapse meanwhile. Until their writers have had the time
// to write them again, what is missing may not be taken for gone.
func TestSettlingAfterAnOutage(t *testing.T) {
	following(t, func(feed *fakeFeed, _ *fakePeers, f *Follower, _ func() string) {
		if f.Settling() {
			t.Error("settling in calm times")
		}
		feed.set(func() { feed.err = errors.New("down") })
		time.Sleep(time.Second)
		if !f.Settling() {
			t.Error("not settling during an outage")
		}
		feed.set(func() { feed.err = nil })
		time.Sleep(settleTime - time.Second)
		if !f.Settling() {
			t.Error("not settling right after the outage")
		}
		time.Sleep(2 * time.Second)
		if f.Settling() {
			t.Error("settling long after the outage")
		}
	})
}

// A VM that learns by its peers lost the store before. Its own old outage must not count
// on: what vanished would be kept for good. A peer that is settling counts.
func TestSettlingOfAVMThatLearnsByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, peers := newFakeFeed(), &fakePeers{}
		feed.err = errors.New("down")
		f, stop := learnByPeers(t, feed, peers)
		defer stop()
		time.Sleep(3 * time.Second)
		peers.have(1, "1")
		time.Sleep(2 * time.Second)
		if f.Settling() {
			t.Error("still settling, though it learns by its peers")
		}
		peers.settle(true)
		time.Sleep(time.Second)
		if !f.Settling() {
			t.Error("not settling, though its peers are")
		}
	})
}

// The store turns this VM away and serves the others, from which it learns. It must not tell
// peers that rows may come back: a replica that has left stayed among those that may, and
// callers' requests reached it 3.2 s after all knew that it was gone. Once nobody hears from
// the store it does tell, as rows run out unseen meanwhile.
func TestTurnedAwayVMDoesNotSettleOthers(t *testing.T) {
	following(t, func(feed *fakeFeed, peers *fakePeers, f *Follower, _ func() string) {
		peers.have(1, "1")
		feed.set(func() { feed.err = errors.New("turned away") })
		time.Sleep(10 * time.Second)
		if change, age, ok := f.Since(1); !ok || change.Settling {
			t.Errorf("turned away: tells %+v, its copy is %s old", change, age)
		}
		peers.mu.Lock()
		peers.age = time.Minute
		peers.mu.Unlock()
		time.Sleep(2 * peersStale)
		if change, age, ok := f.Since(1); !ok || !change.Settling {
			t.Errorf("nobody hears from the store: tells %+v, its copy is %s old", change, age)
		}
	})
}
