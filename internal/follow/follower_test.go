package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// fakeFeed gives out the changes of one table.
type fakeFeed struct {
	mu      sync.Mutex // guards the fields below
	view    platform.TableView
	err     error
	forgot  bool
	changed chan struct{}
	// reads counts the readings of the whole table.
	reads int
	// calls counts all calls.
	calls int
	// newest is the store's revision where other tables have moved it on, and kept the one
	// behind which it knows the changes.
	newest, kept uint64
	// silent holds every call without an answer, also once the store answers others again.
	silent bool
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{view: platform.TableView{Revision: 1, Rows: map[string][]byte{"a": []byte("1")}}, changed: make(chan struct{})}
}

func (f *fakeFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) ReadAll(ctx context.Context, _ string) (platform.TableView, error) {
	f.hold(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgot = false
	f.reads++
	return platform.TableView{Revision: max(f.view.Revision, f.newest), Rows: f.view.Rows}, f.err
}

// hold counts a call, and waits for its end if it is made while the store is silent.
func (f *fakeFeed) hold(ctx context.Context) {
	f.mu.Lock()
	f.calls++
	silent := f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
}

func (f *fakeFeed) readings() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

func (f *fakeFeed) called() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (platform.TableChange, error) {
	f.hold(ctx)
	until := time.After(wait)
	for {
		f.mu.Lock()
		view, err, forgot, changed := f.view, f.err, f.forgot || after < f.kept, f.changed
		newest := max(after, f.newest)
		f.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return platform.TableChange{}, ctx.Err()
		case err != nil:
			return platform.TableChange{}, err
		case forgot:
			return platform.TableChange{}, platform.ErrHistoryGone
		case view.Revision > after:
			return platform.TableChange{Revision: view.Revision, Written: view.Rows}, nil
		}
		if wait <= 0 {
			// No timer that is due at once: several in one synctest bubble share state in the race
			// detector and crash it.
			return platform.TableChange{Revision: newest}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.TableChange{}, ctx.Err()
		case <-until:
			return platform.TableChange{Revision: newest}, nil
		}
	}
}

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
		Table: "t", Feed: feed, Peers: peers, Logger: zap.NewNop(), Follows: func() bool { return true },
		VMs: func() int { return 1 }, Tries: NewTries(), OnChange: func(platform.TableView) {},
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

// learnByPeers runs a follower of a VM that does not follow the feed, until stop is called.
func learnByPeers(t *testing.T, feed *fakeFeed, peers *fakePeers) (f *Follower, stop func()) {
	o := optionsOf(feed, peers)
	o.Follows = func() bool { return false }
	f = New(o)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	return f, func() {
		cancel()
		running.Wait()
	}
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

// A peer's confirmation is as old as the peer's own knowledge.
func TestAgeOfACopy(t *testing.T) {
	following(t, func(feed *fakeFeed, peers *fakePeers, f *Follower, _ func() string) {
		feed.set(func() { feed.err = errors.New("down") })
		time.Sleep(10 * time.Second)
		if f.Age() < 9*time.Second {
			t.Errorf("age %s without store and peers", f.Age())
		}
		peers.have(1, "1")
		peers.mu.Lock()
		peers.age = 3 * time.Second
		peers.mu.Unlock()
		time.Sleep(2 * time.Second)
		if age := f.Age(); age < 3*time.Second || age > 5*time.Second {
			t.Errorf("age %s, the peer's is 3 s", age)
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

// A table that nobody writes for minutes, while the store's other tables change and it drops
// what is older than 20 s: were the feed asked from the copy's revision each time, the whole
// table would be read again each 20 s, half a megabyte for a large configuration.
func TestQuietTableIsNotReadAnew(t *testing.T) {
	following(t, func(feed *fakeFeed, _ *fakePeers, _ *Follower, _ func() string) {
		const history = 20
		for second := uint64(1); second < 120; second++ {
			feed.set(func() {
				feed.newest = 1 + second
				feed.kept = feed.newest - min(feed.newest, history)
			})
			time.Sleep(time.Second)
		}
		if n := feed.readings(); n != 1 {
			t.Errorf("the table was read %d times", n)
		}
	})
}

// The store is silent and so are all peers, as when a switch died between this VM and them.
// When the store is back, the VM reads the table within the time that one held call takes
// and a pause: it must not wait for the peers' 2.5 s first.
func TestSilentPeersDoNotHoldUpTheStore(t *testing.T) {
	following(t, func(feed *fakeFeed, peers *fakePeers, f *Follower, value func() string) {
		peers.mu.Lock()
		peers.silent = true
		peers.mu.Unlock()
		feed.set(func() { feed.silent = true })
		time.Sleep(5*time.Second + 300*time.Millisecond)
		feed.set(func() {
			feed.silent = false
			feed.view = platform.TableView{Revision: 2, Rows: map[string][]byte{"a": []byte("2")}}
		})
		time.Sleep(readTimeout + retryPause + time.Millisecond)
		if value() != "2" {
			t.Errorf("value %q", value())
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
		tries := NewTries()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var followers []*Follower
		for _, feed := range feeds {
			o := optionsOf(feed, &fakePeers{})
			o.Tries = tries
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
		tries := NewTries()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		run := func(feed *fakeFeed) *Follower {
			o := optionsOf(feed, &fakePeers{})
			o.Tries = tries
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
			o.Follows, o.VMs = func() bool { return false }, func() int { return fleet }
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

// peersBehindAChange answer once with a change while this VM's copy moves on to another one.
type peersBehindAChange struct {
	meanwhile func()
	change    platform.TableChange
}

func (p *peersBehindAChange) Fetch(context.Context, string, uint64) (platform.TableChange, time.Duration, bool) {
	p.meanwhile()
	return p.change, 0, true
}

// A peer sends a change and says that nothing came after it, up to a later revision. Meanwhile the
// store has brought this VM an earlier change, so the peer's can't be applied. This VM must not
// hold its copy for the newest up to that revision: it, and whoever learns from it, would ask
// the store for later changes only, and callers were refused by the old configuration for good.
func TestChangeThatIsNotAppliedLeavesTheCopyBehind(t *testing.T) {
	peers := &peersBehindAChange{change: platform.TableChange{Revision: 5, Written: map[string][]byte{"a": []byte("5")}, UnchangedUpTo: 9}}
	f := New(optionsOf(newFakeFeed(), peers))
	publish := func(revision uint64) func() {
		return func() {
			f.publish(platform.TableView{Revision: revision, Rows: map[string][]byte{"a": []byte("x")}}, "store", time.Now())
		}
	}
	publish(1)()
	peers.meanwhile = publish(2)
	f.askPeers(t.Context(), time.Second)
	if change, _, _ := f.Since(2); change.UnchangedUpTo != 2 {
		t.Errorf("a copy of revision 2 passes for the newest up to %d", change.UnchangedUpTo)
	}
	peers.meanwhile = func() {}
	f.askPeers(t.Context(), time.Second)
	if change, _, _ := f.Since(5); change.UnchangedUpTo != 9 || string(f.View().Rows["a"]) != "5" {
		t.Errorf("the change is not taken over: %s, newest up to %d", f.View().Rows["a"], change.UnchangedUpTo)
	}
}

// Guards against a copy that is confirmed but can't confirm others, as a peer read the same later.
func TestSameCopyOfALaterRevisionConfirmsThisOne(t *testing.T) {
	peers := &peersBehindAChange{change: platform.TableChange{Revision: 5, UnchangedUpTo: 9}, meanwhile: func() {}}
	f := New(optionsOf(newFakeFeed(), peers))
	f.publish(platform.TableView{Revision: 3, Rows: map[string][]byte{"a": []byte("x")}}, "store", time.Now())
	f.askPeers(t.Context(), time.Second)
	if change, _, _ := f.Since(3); change.UnchangedUpTo != 9 {
		t.Errorf("the copy is the newest up to %d, it says", change.UnchangedUpTo)
	}
}
