package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

func TestChangeIsSeenWithinFeedInterval(t *testing.T) {
	runFollower(t, func(feed *fakeFeed, _ *fakePeers, _ *Follower, value func() string) {
		feed.set(func() {
			feed.view = platform.TableView{Version: platform.Version{Revision: 2}, Rows: map[string][]byte{"a": []byte("2")}}
		})
		time.Sleep(feedInterval + time.Millisecond)
		if value() != "2" {
			t.Errorf("value %q", value())
		}
	})
}

// The store rejects this VM and serves the others. A change arrives from a peer within one gossip
// interval.
func TestPeerSendsChangeWhileStoreRejectsVM(t *testing.T) {
	runFollower(t, func(feed *fakeFeed, peers *fakePeers, _ *Follower, value func() string) {
		feed.set(func() { feed.err = errors.New("turned away") })
		time.Sleep(3 * time.Second)
		peers.setCopy(5, "5")
		time.Sleep(gossipInterval + time.Millisecond)
		if value() != "5" {
			t.Errorf("value %q", value())
		}
	})
}

// The store keeps the call open and never answers. No call fails, and the change still arrives
// from a peer within one gossip interval.
func TestPeerSendsChangeWhileStoreIsSilent(t *testing.T) {
	runFollower(t, func(_ *fakeFeed, peers *fakePeers, _ *Follower, value func() string) {
		peers.setCopy(7, "7")
		time.Sleep(gossipInterval + time.Millisecond)
		if value() != "7" {
			t.Errorf("value %q", value())
		}
	})
}

// A peer has an older copy than this VM. It must not replace the newer one.
func TestOlderCopyIsRefused(t *testing.T) {
	runFollower(t, func(feed *fakeFeed, peers *fakePeers, _ *Follower, value func() string) {
		feed.set(func() {
			feed.view = platform.TableView{Version: platform.Version{Revision: 9}, Rows: map[string][]byte{"a": []byte("9")}}
		})
		time.Sleep(time.Second)
		peers.setCopy(4, "4")
		feed.set(func() { feed.err = errors.New("down") })
		time.Sleep(5 * time.Second)
		if value() != "9" {
			t.Errorf("value %q", value())
		}
	})
}

func TestTableIsReadAgainWhenHistoryIsGone(t *testing.T) {
	runFollower(t, func(feed *fakeFeed, _ *fakePeers, _ *Follower, value func() string) {
		feed.set(func() {
			feed.view = platform.TableView{Version: platform.Version{Revision: 3}, Rows: map[string][]byte{"a": []byte("3")}}
			feed.historyGone = true
		})
		time.Sleep(2 * time.Second)
		if value() != "3" {
			t.Errorf("value %q", value())
		}
	})
}

// A VM of a large fleet copies from its peers and does not call the store. When they stop
// answering, it turns to the store.
func TestVMWithoutFeedTurnsToStoreWhenPeersAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, peers := newFakeFeed(), &fakePeers{}
		peers.setCopy(1, "1")
		f, stop := startPeerFollower(t, feed, peers)
		defer stop()
		time.Sleep(10 * time.Second)
		feed.set(func() {
			feed.view = platform.TableView{Version: platform.Version{Revision: 5}, Rows: map[string][]byte{"a": []byte("store")}}
		})
		time.Sleep(2 * time.Second)
		if value := string(f.View().Rows["a"]); value != "1" {
			t.Errorf("value %q, only the store has it", value)
		}
		peers.mu.Lock()
		peers.ok = false
		peers.mu.Unlock()
		time.Sleep(maxPeerCopyAge + 2*time.Second)
		if value := string(f.View().Rows["a"]); value != "store" {
			t.Errorf("value %q after the peers stopped answering", value)
		}
	})
}
