package follow

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

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
