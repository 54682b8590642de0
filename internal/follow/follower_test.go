package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

func TestChangesAreSeenWithinTheBound(t *testing.T) {
	following(t, func(feed *fakeFeed, _ *fakePeers, _ *Follower, value func() string) {
		feed.set(func() { feed.view = platform.TableView{Revision: 2, Rows: map[string][]byte{"a": []byte("2")}} })
		time.Sleep(feedPause + time.Millisecond)
		if value() != "2" {
			t.Errorf("value %q", value())
		}
	})
}

// The store turns this VM away and serves the others. A change reaches it by a peer
// within the pause between two questions.
func TestPeersBringWhatTheStoreKeepsBack(t *testing.T) {
	following(t, func(feed *fakeFeed, peers *fakePeers, _ *Follower, value func() string) {
		feed.set(func() { feed.err = errors.New("turned away") })
		time.Sleep(3 * time.Second)
		peers.have(5, "5")
		time.Sleep(gossipPause + time.Millisecond)
		if value() != "5" {
			t.Errorf("value %q", value())
		}
	})
}

// The store holds the call without ever answering. Nothing fails, and still the change
// is here within the pause between two questions to peers.
func TestPeersBringWhatASilentStoreHides(t *testing.T) {
	following(t, func(_ *fakeFeed, peers *fakePeers, _ *Follower, value func() string) {
		peers.have(7, "7")
		time.Sleep(gossipPause + time.Millisecond)
		if value() != "7" {
			t.Errorf("value %q", value())
		}
	})
}

// A peer has an older copy than this VM. It must not replace the newer one.
func TestOlderCopyIsRefused(t *testing.T) {
	following(t, func(feed *fakeFeed, peers *fakePeers, _ *Follower, value func() string) {
		feed.set(func() { feed.view = platform.TableView{Revision: 9, Rows: map[string][]byte{"a": []byte("9")}} })
		time.Sleep(time.Second)
		peers.have(4, "4")
		feed.set(func() { feed.err = errors.New("down") })
		time.Sleep(5 * time.Second)
		if value() != "9" {
			t.Errorf("value %q", value())
		}
	})
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	following(t, func(feed *fakeFeed, _ *fakePeers, _ *Follower, value func() string) {
		feed.set(func() {
			feed.view = platform.TableView{Revision: 3, Rows: map[string][]byte{"a": []byte("3")}}
			feed.forgot = true
		})
		time.Sleep(2 * time.Second)
		if value() != "3" {
			t.Errorf("value %q", value())
		}
	})
}

// A VM of a large fleet learns by its peers and asks the store nothing. When they fall
// silent it turns to the store by itself.
func TestFewFollowTheFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, peers := newFakeFeed(), &fakePeers{}
		peers.have(1, "1")
		f, stop := learnByPeers(t, feed, peers)
		defer stop()
		time.Sleep(10 * time.Second)
		feed.set(func() { feed.view = platform.TableView{Revision: 5, Rows: map[string][]byte{"a": []byte("store")}} })
		time.Sleep(2 * time.Second)
		if value := string(f.View().Rows["a"]); value != "1" {
			t.Errorf("value %q, only the store has it", value)
		}
		peers.mu.Lock()
		peers.ok = false
		peers.mu.Unlock()
		time.Sleep(peersStale + 2*time.Second)
		if value := string(f.View().Rows["a"]); value != "store" {
			t.Errorf("value %q after the peers fell silent", value)
		}
	})
}
