package follow

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// An answer of a peer confirms the copy only as of the time at which the peer's own copy was
// confirmed.
func TestCopyAge(t *testing.T) {
	runFollower(t, func(feed *fakeFeed, peers *fakePeers, f *Follower, _ func() string) {
		feed.set(func() { feed.err = errors.New("down") })
		time.Sleep(10 * time.Second)
		if f.Age() < 9*time.Second {
			t.Errorf("age %s without store and peers", f.Age())
		}
		peers.setCopy(1, "1")
		peers.mu.Lock()
		peers.age = 3 * time.Second
		peers.mu.Unlock()
		time.Sleep(2 * time.Second)
		if age := f.Age(); age < 3*time.Second || age > 5*time.Second {
			t.Errorf("age %s, the peer's is 3 s", age)
		}
	})
}

// Guards against repeated reads of an unchanged table. The table is not written for minutes, while
// the store's other tables change and the store drops changes older than 20 s. If the feed were
// asked from the copy's revision each time, the whole table would be read every 20 s, which is
// half a megabyte for a large configuration.
func TestQuietTableIsNotReadAnew(t *testing.T) {
	runFollower(t, func(feed *fakeFeed, _ *fakePeers, _ *Follower, _ func() string) {
		const history = 20
		for second := uint64(1); second < 120; second++ {
			feed.set(func() {
				feed.newest = 1 + second
				feed.oldestKept = feed.newest - min(feed.newest, history)
			})
			time.Sleep(time.Second)
		}
		if n := feed.readCount(); n != 1 {
			t.Errorf("the table was read %d times", n)
		}
	})
}

// The store and all peers are silent, as when a switch between this VM and them fails. Once the
// store has recovered, the VM must read the table within one call timeout and one retry delay. It must
// not wait for the peers' timeout of 2.5 s first.
func TestSilentPeersDoNotHoldUpTheStore(t *testing.T) {
	runFollower(t, func(feed *fakeFeed, peers *fakePeers, f *Follower, value func() string) {
		peers.mu.Lock()
		peers.silent = true
		peers.mu.Unlock()
		feed.set(func() { feed.silent = true })
		time.Sleep(5*time.Second + 300*time.Millisecond)
		feed.set(func() {
			feed.silent = false
			feed.view = platform.TableView{Version: platform.Version{Revision: 2}, Rows: map[string][]byte{"a": []byte("2")}}
		})
		time.Sleep(readTimeout + retryDelay + time.Millisecond)
		if value() != "2" {
			t.Errorf("value %q", value())
		}
	})
}

// at returns the cursor of a copy of a revision in the store's only era.
func at(revision uint64) platform.Cursor {
	return platform.Cursor{Version: platform.Version{Revision: revision}}
}

// concurrentPeers answers with a change and calls meanwhile before, which moves this VM's copy on.
type concurrentPeers struct {
	meanwhile func()
	change    platform.TableChange
}

func (p *concurrentPeers) Fetch(context.Context, string, platform.Cursor) (platform.TableChange, time.Duration, bool) {
	p.meanwhile()
	return p.change, 0, true
}

// A peer sends a change and says that nothing follows it up to a later revision. In the meantime
// the store has sent this VM an earlier change, so the peer's change cannot be applied. This VM
// must not treat its copy as current up to that revision: it, and any VM that copies from it,
// would ask the store for later changes only, and requests would be refused by the old
// configuration permanently.
func TestChangeThatIsNotAppliedLeavesTheCopyBehind(t *testing.T) {
	peers := &concurrentPeers{change: platform.TableChange{Version: platform.Version{Revision: 5}, Written: map[string][]byte{"a": []byte("5")}, UnchangedUpTo: 9}}
	f := New(optionsOf(newFakeFeed(), peers))
	publish := func(revision uint64) func() {
		return func() {
			f.publish(platform.TableView{Version: platform.Version{Revision: revision}, Rows: map[string][]byte{"a": []byte("x")}}, "store", confirmedAt(time.Now()))
		}
	}
	publish(1)()
	peers.meanwhile = publish(2)
	f.fetchFromPeers(t.Context(), time.Second)
	if change, _, _ := f.Since(at(2)); change.UnchangedUpTo != 2 {
		t.Errorf("a copy of revision 2 counts as current up to %d", change.UnchangedUpTo)
	}
	peers.meanwhile = func() {}
	f.fetchFromPeers(t.Context(), time.Second)
	if change, _, _ := f.Since(at(5)); change.UnchangedUpTo != 9 || string(f.View().Rows["a"]) != "5" {
		t.Errorf("the change is not applied: %s, current up to %d", f.View().Rows["a"], change.UnchangedUpTo)
	}
}

// Guards against a copy that is confirmed but cannot confirm other copies, because the peer read
// the same rows at a later revision.
func TestSameCopyOfALaterRevisionConfirmsThisOne(t *testing.T) {
	peers := &concurrentPeers{change: platform.TableChange{Version: platform.Version{Revision: 5}, UnchangedUpTo: 9}, meanwhile: func() {}}
	f := New(optionsOf(newFakeFeed(), peers))
	f.publish(platform.TableView{Version: platform.Version{Revision: 3}, Rows: map[string][]byte{"a": []byte("x")}}, "store", confirmedAt(time.Now()))
	f.fetchFromPeers(t.Context(), time.Second)
	if change, _, _ := f.Since(at(3)); change.UnchangedUpTo != 9 {
		t.Errorf("the copy is reported as current up to %d", change.UnchangedUpTo)
	}
}
