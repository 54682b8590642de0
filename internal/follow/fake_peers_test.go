package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// fakePeers is a Peers whose peers all have the same copy.
type fakePeers struct {
	mu   sync.Mutex // guards the fields below
	view platform.TableView
	age  time.Duration
	ok   bool
	// settling is what the peers report about themselves.
	settling bool
	// silent makes each request wait until its context ends.
	silent bool
	// byFeed says that the peers follow the feed.
	byFeed bool
}

func (p *fakePeers) setSettling(settling bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settling = settling
}

// goOut makes the peers' copies age for a time, as in an outage of the store, and be confirmed again then.
func (p *fakePeers) goOut(outage time.Duration) {
	for since := time.Now(); time.Since(since) < outage; time.Sleep(100 * time.Millisecond) {
		p.mu.Lock()
		p.age = time.Since(since)
		p.mu.Unlock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.age = 0
}

func (p *fakePeers) Fetch(ctx context.Context, _ string, after platform.Cursor) (platform.TableChange, time.Duration, bool) {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return platform.TableChange{}, 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	change := platform.TableChange{Version: platform.Version{Revision: p.view.Revision}, UnchangedUpTo: p.view.Revision, Settling: p.settling, ByFeed: p.byFeed}
	if p.view.After(after.Version) {
		change.Whole, change.Written = true, p.view.Rows
	}
	return change, p.age, p.ok
}

func (p *fakePeers) setCopy(revision uint64, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view, p.ok = platform.TableView{Version: platform.Version{Revision: revision}, Rows: map[string][]byte{"a": []byte(value)}}, true
}

// optionsOf returns the options of a VM that follows the feed in a fleet of one.
func optionsOf(feed platform.Feed, peers Peers) Options {
	return Options{
		Table: "t", Feed: feed, Peers: peers, Logger: zap.NewNop(), FollowsFeed: func() bool { return true },
		VMs: func() int { return 1 }, RetryGroup: NewRetryGroup(), OnChange: func(platform.TableView) {},
	}
}

// runFollower runs a follower in virtual time. The test can read the newest value of the row.
func runFollower(t *testing.T, test func(feed *fakeFeed, peers *fakePeers, f *Follower, value func() string)) {
	synctest.Test(t, func(t *testing.T) {
		feed, peers := newFakeFeed(), &fakePeers{}
		f := New(optionsOf(feed, peers))
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { f.Run(ctx) })
		time.Sleep(time.Second)
		test(feed, peers, f, func() string { return string(f.View().Rows["a"]) })
		cancel()
		running.Wait()
	})
}

// startPeerFollower runs the follower of a VM that does not follow the feed until stop is called.
func startPeerFollower(t *testing.T, feed *fakeFeed, peers *fakePeers) (f *Follower, stop func()) {
	o := optionsOf(feed, peers)
	o.FollowsFeed = func() bool { return false }
	f = New(o)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	return f, func() {
		cancel()
		running.Wait()
	}
}
