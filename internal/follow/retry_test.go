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

// While the store is unavailable, the peers have nothing new either, and a whole large fleet turns
// to the store. VMs that do not follow the feed must call it rarely, and still have a change
// within two seconds of its return.
func TestFleetAsksAStoreThatIsAwaySeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed, peers := newFakeFeed(), &fakePeers{}
		peers.setCopy(1, "1")
		f, stop := startPeerFollower(t, feed, peers)
		defer stop()
		time.Sleep(2 * time.Second)
		feed.set(func() { feed.err = errors.New("down") })
		peers.mu.Lock()
		peers.age = time.Minute
		peers.mu.Unlock()
		time.Sleep(maxPeerCopyAge + time.Second)
		asked := feed.readCount()
		time.Sleep(20 * time.Second)
		if n := feed.readCount() - asked; n < 8 || n > 11 {
			t.Errorf("%d calls to the store in 20 s", n)
		}
		feed.set(func() {
			feed.err = nil
			feed.view = platform.TableView{Version: platform.Version{Revision: 5}, Rows: map[string][]byte{"a": []byte("store")}}
		})
		time.Sleep(peerRetryDelay + time.Second/2)
		if value := string(f.View().Rows["a"]); value != "store" {
			t.Errorf("value %q after the store's return", value)
		}
	})
}

// The store is unavailable for 8 s and refuses every call. Each of a VM's two tables is followed
// by its own calls; when each retried by itself, the load on the store doubled. One table must
// retry for both, and both must have the store's changes as soon as it has recovered.
func TestTablesOfAVMShareTheirTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 8 * time.Second
		feeds := []*fakeFeed{newFakeFeed(), newFakeFeed()}
		retries := NewRetryGroup()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var followers []*Follower
		for _, feed := range feeds {
			o := optionsOf(feed, &fakePeers{})
			o.RetryGroup = retries
			f := New(o)
			followers = append(followers, f)
			running.Go(func() { f.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		asked := feeds[0].readCount() + feeds[1].readCount()
		for _, feed := range feeds {
			feed.set(func() { feed.err = errors.New("down") })
		}
		time.Sleep(outage)
		most := int(outage/retryDelay) + int(outage/maxSharedWait) + 2
		if n := feeds[0].readCount() + feeds[1].readCount() - asked; n > most {
			t.Errorf("%d calls to the store in %s", n, outage)
		}
		for _, feed := range feeds {
			feed.set(func() {
				feed.err = nil
				feed.view = platform.TableView{Version: platform.Version{Revision: 5}, Rows: map[string][]byte{"a": []byte("store")}}
			})
		}
		time.Sleep(retryDelay + 10*time.Millisecond)
		for i, f := range followers {
			if value := string(f.View().Rows["a"]); value != "store" {
				t.Errorf("table %d: value %q after the store's return", i, value)
			}
		}
		cancel()
		running.Wait()
	})
}

// The table that retries for both keeps being rejected, or its follower stops retrying because it
// copies from peers. The other table must not wait for it.
func TestTableDoesNotWaitForStoppedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad, good := newFakeFeed(), newFakeFeed()
		retries := NewRetryGroup()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		run := func(feed *fakeFeed) *Follower {
			o := optionsOf(feed, &fakePeers{})
			o.RetryGroup = retries
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
		time.Sleep(maxSharedWait + retryDelay)
		if f.View() == nil {
			t.Error("no copy, though the store answers for this table")
		}
		cancel()
		running.Wait()
	})
}

// All VMs of a large fleet learn that the few VMs that follow the feed get no answer from the
// store. They must leave the retries to those: each calls the store in its turn, the less often
// the more VMs there are, and not all of them at the moment at which all copies reach the maximum
// age.
func TestVMsThatHearFollowersAskInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			vms    = 40
			fleet  = 195
			outage = 10 * time.Second
		)
		feed, peers := newFakeFeed(), &fakePeers{byFeed: true}
		peers.setCopy(1, "1")
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
		asked := feed.callCount()
		time.Sleep(outage)
		turn := fleet * retryDelayPerVM
		if n, most := feed.callCount()-asked, int(2*vms*outage/turn); n > most || n < vms/2 {
			t.Errorf("%d VMs of %d made %d calls in %s, %d at most", vms, fleet, n, outage, most)
		}
		cancel()
		running.Wait()
	})
}
