package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// longOutage is an outage in which entries expire.
const longOutage = 5 * time.Second

// Rows expire during an outage of the store. Until their writers have had the time to write them
// again, a missing row must not be taken for deleted.
func TestSettlingAfterAnOutage(t *testing.T) {
	runFollower(t, func(feed *fakeFeed, _ *fakePeers, f *Follower, _ func() string) {
		if f.Settling() {
			t.Error("settling without an outage")
		}
		feed.set(func() { feed.err = errors.New("down") })
		time.Sleep(longOutage)
		if !f.Settling() {
			t.Error("not settling during an outage")
		}
		feed.set(func() { feed.err = nil })
		time.Sleep(settlingTime - time.Second)
		if !f.Settling() {
			t.Error("not settling right after the outage")
		}
		time.Sleep(2 * time.Second)
		if f.Settling() {
			t.Error("settling long after the outage")
		}
	})
}

// A VM that copies from its peers lost the store earlier. Its own past outage must not count any
// more, or missing rows would be kept for good. A peer that is settling does count.
func TestSettlingOfAVMThatLearnsByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, peers := newFakeFeed(), &fakePeers{}
		feed.err = errors.New("down")
		f, stop := startPeerFollower(t, feed, peers)
		defer stop()
		time.Sleep(3 * time.Second)
		peers.setCopy(1, "1")
		time.Sleep(2 * time.Second)
		if f.Settling() {
			t.Error("still settling, though it copies from its peers")
		}
		peers.goOut(longOutage)
		peers.setSettling(true)
		time.Sleep(time.Second)
		if !f.Settling() {
			t.Error("not settling, though its peers are")
		}
	})
}

// The store rejects this VM and serves the others, from which it copies. It must not report to
// peers that rows may reappear: they kept using a replica that had left, and requests reached it
// 3.2 s after all VMs knew that it had left. Once no VM gets an answer from the store it does
// report so, as rows expire unseen then.
func TestTurnedAwayVMDoesNotSettleOthers(t *testing.T) {
	runFollower(t, func(feed *fakeFeed, peers *fakePeers, f *Follower, _ func() string) {
		peers.setCopy(1, "1")
		feed.set(func() { feed.err = errors.New("turned away") })
		time.Sleep(10 * time.Second)
		if change, age, ok := f.Since(at(1)); !ok || change.Settling {
			t.Errorf("rejected by the store: reports %+v, its copy is %s old", change, age)
		}
		peers.mu.Lock()
		peers.age = time.Minute
		peers.mu.Unlock()
		time.Sleep(2 * maxPeerCopyAge)
		if change, age, ok := f.Since(at(1)); !ok || !change.Settling {
			t.Errorf("no VM gets an answer from the store: reports %+v, its copy is %s old", change, age)
		}
	})
}
