package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// The store is away, so the peers hear nothing new either, and a whole large fleet turns
// to it. The VMs that do not follow the feed ask it seldom, and have what is new within
// two seconds of its return.
func TestFleetAsksAStoreThatIsAwaySeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, peers := newFakeFeed(), &fakePeers{}
		peers.have(1, "1")
		f, stop := learnByPeers(t, feed, peers)
		defer stop()
		time.Sleep(2 * time.Second)
		feed.set(func() { feed.err = errors.New("down") })
		peers.mu.Lock()
		peers.age = time.Minute
		peers.mu.Unlock()
		time.Sleep(peersStale + time.Second)
		asked := feed.readings()
		time.Sleep(20 * time.Second)
		if n := feed.readings() - asked; n < 8 || n > 11 {
			t.Errorf("%d questions to the store in 20 s", n)
		}
		feed.set(func() {
			feed.err = nil
			feed.view = platform.TableView{Revision: 5, Rows: map[string][]byte{"a": []byte("store")}}
		})
		time.Sleep(calmRetryPause + time.Second/2)
		if value := string(f.View().Rows["a"]); value != "store" {
			t.Errorf("value %q after the store's return", value)
		}
	})
}

// The store is away for 8 s and refuses every call. A VM's two tables are followed by calls of
// their own; each asking by itself doubled what the store was asked. One asks for both, and
// when the store is back both have its news at once.
func TestTablesOfAVMShareTheirTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 8 * time.Second
		feeds := []*fakeFeed{newFakeFeed(), newFakeFeed()}
		tries := NewRetryGroup()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var followers []*Follower
		for _, feed := range feeds {
			o := optionsOf(feed, &fakePeers{})
			o.RetryGroup = tries
			f := New(o)
			followers = append(followers, f)
			running.Go(func() { f.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		asked := feeds[0].readings() + feeds[1].readings()
		for _, feed := range feeds {
			feed.set(func() { feed.err = errors.New("down") })
		}
		time.Sleep(outage)
		most := int(outage/retryPause) + int(outage/sharedTryMost) + 2
		if n := feeds[0].readings() + feeds[1].readings() - asked; n > most {
			t.Errorf("%d questions to the store in %s", n, outage)
		}
		for _, feed := range feeds {
			feed.set(func() {
				feed.err = nil
				feed.view = platform.TableView{Revision: 5, Rows: map[string][]byte{"a": []byte("store")}}
			})
		}
		time.Sleep(retryPause + 10*time.Millisecond)
		for i, f := range followers {
			if value := string(f.View().Rows["a"]); value != "store" {
				t.Errorf("table %d: value %q after the store's return", i, value)
			}
		}
		cancel()
		running.Wait()
	})
}

// The table that asks for both is turned away for good, or its follower leaves off as it
// learns by peers. The other one must not wait for it.
func TestTableDoesNotWaitForOneThatLeftOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad, good := newFakeFeed(), newFakeFeed()
		tries := NewRetryGroup()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		run := func(feed *fakeFeed) *Follower {
			o := optionsOf(feed, &fakePeers{})
			o.RetryGroup = tries
			f := New(o)
			running.Go(func() { f.Run(ctx) })
			return f
		}
		bad.set(func() { bad.err = errors.New("down") })
		run(bad)
		time.Sleep(time.Second)
		good.set(func() { good.err = errors.New("down") })
		f := run(good)
		time.Sleep(time.Second)
		good.set(func() { good.err = nil })
		time.Sleep(sharedTryMost + retryPause)
		if f.View() == nil {
			t.Error("no copy, though the store answers for this table")
		}
		cancel()
		running.Wait()
	})
}

// All of a large fleet hear that the few that follow the feed get nothing from the store. They
// leave it to those: each asks in its turn, which is the longer the more VMs there are, and not
// all at the moment in which all copies turn old.
func TestVMsThatHearFollowersAskInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			vms    = 40
			fleet  = 195
			outage = 10 * time.Second
		)
		feed, peers := newFakeFeed(), &fakePeers{byFeed: true}
		peers.have(1, "1")
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for range vms {
			o := optionsOf(feed, peers)
			o.FollowsFeed, o.VMs = func() bool { return false }, func() int { return fleet }
			f := New(o)
			running.Go(func() { f.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		feed.set(func() { feed.err = errors.New("down") })
		peers.mu.Lock()
		peers.age = time.Minute
		peers.mu.Unlock()
		asked := feed.called()
		time.Sleep(outage)
		turn := fleet * turnPerVM
		if n, most := feed.called()-asked, int(2*vms*outage/turn); n > most || n < vms/2 {
			t.Errorf("%d VMs of %d asked %d times in %s, %d at most", vms, fleet, n, outage, most)
		}
		cancel()
		running.Wait()
	})
}
