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

// fakePeers have one copy.
type fakePeers struct {
	mu   sync.Mutex // guards the fields below
	view platform.TableView
	age  time.Duration
	ok   bool
	// settling is what the peer says of itself.
	settling bool
	// silent makes every question wait for its time limit.
	silent bool
	// byFeed says that the peer follows the feed.
	byFeed bool
}

func (p *fakePeers) settle(settling bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settling = settling
}

func (p *fakePeers) Fetch(ctx context.Context, _ string, after uint64) (platform.TableChange, time.Duration, bool) {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return platform.TableChange{}, 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	change := platform.TableChange{Revision: p.view.Revision, UnchangedUpTo: p.view.Revision, Settling: p.settling, ByFeed: p.byFeed}
	if p.view.Revision > after {
		change.Whole, change.Written = true, p.view.Rows
	}
	return change, p.age, p.ok
}

func (p *fakePeers) have(revision uint64, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view, p.ok = platform.TableView{Revision: revision, Rows: map[string][]byte{"a": []byte(value)}}, true
}

// optionsOf are those of a VM that follows the feed and counts itself alone.
func optionsOf(feed platform.Feed, peers Peers) Options {
	return Options{
		Table: "t", Feed: feed, Peers: peers, Logger: zap.NewNop(), FollowsFeed: func() bool { return true },
		VMs: func() int { return 1 }, RetryGroup: NewRetryGroup(), OnChange: func(platform.TableView) {},
	}
}

// following runs a follower in virtual time and gives the test its newest value.
func following(t *testing.T, test func(feed *fakeFeed, peers *fakePeers, f *Follower, value func() string)) {
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

// learnByPeers runs a follower of a VM that does not follow the feed, until stop is called.
func learnByPeers(t *testing.T, feed *fakeFeed, peers *fakePeers) (f *Follower, stop func()) {
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
