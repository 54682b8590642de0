package follow

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// startedFollower starts a follower on a large fleet and returns it with a function that stops it.
func startedFollower(t *testing.T, feed platform.Feed, peers Peers, known, followsFeed bool) (*Follower, func()) {
	f := New(Options{
		Table: "t", Feed: feed, Peers: peers, Logger: zap.NewNop(), RetryGroup: NewRetryGroup(), OnChange: func(platform.TableView) {},
		FollowsFeed: func() bool { return followsFeed }, PeersKnown: func() bool { return known }, VMs: func() int { return 985 },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	return f, func() { cancel(); <-ended }
}

// Guards against a start at which each VM of a large fleet reads the whole tables from the store.
func TestStartingVMTakesItsFirstCopyFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, peers := newFakeFeed(), &fakePeers{byFeed: true}
		f, stop := startedFollower(t, feed, peers, true, false)
		defer stop()
		time.Sleep(time.Second)
		if f.View() != nil || feed.callCount() != 0 {
			t.Errorf("%d calls to the store", feed.callCount())
		}
		peers.setCopy(5, "5") // a peer has read it by now
		time.Sleep(2 * startInterval)
		if f.version().Revision != 5 || feed.callCount() != 0 {
			t.Errorf("revision %d after %d calls to the store", f.version().Revision, feed.callCount())
		}
	})
}

// No peer has a copy. The VM reads the store itself in time.
func TestStartingVMReadsTheStoreIfPeersHaveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		f, stop := startedFollower(t, feed, &fakePeers{}, true, false)
		defer stop()
		time.Sleep(maxStartFromPeers + retryDelay)
		if f.View() == nil {
			t.Error("no copy")
		}
	})
}

// The store is unavailable at the start, so the list of VMs is not known. The peers of the settings
// have a copy.
func TestStartingVMAsksKnownPeersInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, peers := newFakeFeed(), &fakePeers{}
		feed.set(func() { feed.err = errors.New("unavailable") })
		peers.setCopy(5, "5")
		f, stop := startedFollower(t, feed, peers, false, false)
		defer stop()
		time.Sleep(maxWaitForPeers + startInterval)
		if f.version().Revision != 5 {
			t.Error("no copy")
		}
	})
}
