package follow

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/harness/standin/feedsim"
	"geraniumcroft/internal/platform"
)

const (
	// inForceBound is how long after its write a change may take, and awayTime for how long the store
	// is away before it comes back from a copy.
	inForceBound = 2 * time.Second
	awayTime     = 2600 * time.Millisecond
)

// restoredStore is a store with a follower, in virtual time.
type restoredStore struct {
	*feedsim.Store
	client   *feedsim.Client
	follower *Follower
}

func (s *restoredStore) value() string { return string(s.follower.View().Rows["config"]) }

// configure writes a version of the configuration.
func (s *restoredStore) configure(version int) { s.Put("t", "config", []byte(fmt.Sprint(version))) }

// contentOf returns the version of the configuration.
func contentOf(rows map[string][]byte) (uint64, bool) {
	version, err := strconv.ParseUint(string(rows["config"]), 10, 64)
	return version, err == nil
}

// moveOn writes rows of another table, which raises the store's revision.
func (s *restoredStore) moveOn(revisions int) {
	for range revisions {
		s.Put("other", "row", nil)
	}
}

// restore takes the store away and brings it back from a copy.
func (s *restoredStore) restore(from feedsim.Copy) {
	s.SetAway(true)
	time.Sleep(awayTime)
	s.Restore(from)
	s.SetAway(false)
}

func runRestoredStore(t *testing.T, test func(s *restoredStore)) {
	synctest.Test(t, func(t *testing.T) {
		s := &restoredStore{Store: feedsim.NewStore()}
		eras := platform.NewEras(zap.NewNop())
		s.client = s.Client(eras)
		s.configure(1)
		o := optionsOf(s.client, &fakePeers{})
		o.Eras, o.ContentVersion = eras, contentOf
		s.follower = New(o)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { s.follower.Run(ctx) })
		time.Sleep(time.Second)
		test(s)
		cancel()
		running.Wait()
	})
}

// Guards against changes that are refused after the store came back from an older copy, because their
// revisions are lower than that of the copy in force.
func TestChangeIsInForceAfterStoreRestored(t *testing.T) {
	runRestoredStore(t, func(s *restoredStore) {
		from := s.Copy()
		s.moveOn(20)
		s.configure(2)
		time.Sleep(time.Second)
		s.restore(from)
		time.Sleep(3 * time.Second)
		s.configure(3)
		time.Sleep(inForceBound)
		if s.value() != "3" {
			t.Errorf("version %q in force %s after version 3 was written", s.value(), inForceBound)
		}
	})
}

// Guards against a change that is never seen because its revision, given out again, is below the one up
// to which the feed was read before the store came back from an older copy.
func TestChangeBelowTheOldPositionIsSeenAfterStoreRestored(t *testing.T) {
	runRestoredStore(t, func(s *restoredStore) {
		s.moveOn(10)
		from := s.Copy()
		s.moveOn(10)
		time.Sleep(2 * time.Second)
		s.restore(from)
		time.Sleep(time.Second)
		s.configure(3)
		s.moveOn(40)
		time.Sleep(inForceBound)
		if s.value() != "3" {
			t.Errorf("version %q in force %s after version 3 was written", s.value(), inForceBound)
		}
	})
}

// Guards against a revoked key that is let in again, because the store came back from a copy with an
// older configuration.
func TestConfigurationInForceStaysAfterStoreRestored(t *testing.T) {
	runRestoredStore(t, func(s *restoredStore) {
		from := s.Copy()
		s.configure(2)
		s.configure(3)
		time.Sleep(time.Second)
		s.restore(from)
		time.Sleep(2 * time.Second)
		for _, version := range []int{2, 3, 4} {
			if s.value() != "3" || s.follower.Age() > inForceBound {
				t.Errorf("version %q in force before version %d was written again, confirmed %s ago", s.value(), version, s.follower.Age())
			}
			s.configure(version)
			time.Sleep(inForceBound)
		}
		if s.value() != "4" {
			t.Errorf("version %q in force after version 4 was written", s.value())
		}
	})
}

// Guards against two returns in a row, of which a VM hears as of one.
func TestStoreRestoredTwice(t *testing.T) {
	runRestoredStore(t, func(s *restoredStore) {
		from := s.Copy()
		s.moveOn(20)
		s.configure(2)
		time.Sleep(time.Second)
		s.SetAway(true)
		s.Restore(from)
		s.moveOn(20)
		s.Restore(from)
		s.SetAway(false)
		s.configure(3)
		time.Sleep(inForceBound)
		if s.value() != "3" || s.follower.View().Era != 3 {
			t.Errorf("version %q in force, of era %d", s.value(), s.follower.View().Era)
		}
	})
}

// Guards against a peer with a copy of an earlier era, which has a higher revision: its copy must neither
// be taken over nor confirm this one.
func TestPeerOfEarlierEraNeitherReplacesNorConfirms(t *testing.T) {
	f := New(optionsOf(newFakeFeed(), &concurrentPeers{
		change:    platform.TableChange{Version: platform.Version{Era: 1, Revision: 90}, UnchangedUpTo: 90, Whole: true, Written: map[string][]byte{"a": []byte("old")}},
		meanwhile: func() {},
	}))
	confirmed := time.Now().Add(-time.Minute)
	f.publish(platform.TableView{Version: platform.Version{Era: 2, Revision: 3}, Rows: map[string][]byte{"a": []byte("new")}}, fromStore, confirmedAt(confirmed))
	f.fetchFromPeers(t.Context(), time.Second)
	if string(f.View().Rows["a"]) != "new" || f.Age() < time.Minute || f.feedPosition(f.version()) != 3 {
		t.Errorf("row %s, confirmed %s ago, position %d", f.View().Rows["a"], f.Age(), f.feedPosition(f.version()))
	}
}

// Guards against an answer of the feed that belongs to another era than the copy that it is applied to.
func TestChangeOfAnotherEraIsNotApplied(t *testing.T) {
	f := New(optionsOf(newFakeFeed(), &fakePeers{}))
	version := platform.Version{Era: 2, Revision: 3}
	f.publish(platform.TableView{Version: version, Rows: map[string][]byte{"a": []byte("new")}}, fromStore, confirmedAt(time.Now()))
	for _, era := range []uint64{1, 3} {
		change := platform.TableChange{Version: platform.Version{Era: era, Revision: 9}, Written: map[string][]byte{"a": []byte("other")}}
		if f.applyChange(version, change, fromStore, confirmedAt(time.Now())) {
			t.Errorf("a change of era %d was applied to a copy of era %d", era, version.Era)
		}
	}
}

// Guards against a copy that counts as confirmed because a peer, which has not heard of the store's return,
// has a later content.
func TestLaterContentOfEarlierEraDoesNotConfirm(t *testing.T) {
	o := optionsOf(newFakeFeed(), &fakePeers{})
	o.ContentVersion = contentOf
	f := New(o)
	publish := func(version platform.Version, config string, from string, at time.Time) {
		f.publish(platform.TableView{Version: version, Rows: map[string][]byte{"config": []byte(config)}}, from, confirmedAt(at))
	}
	publish(platform.Version{Era: 2, Revision: 3}, "23", fromStore, time.Now().Add(-time.Minute))
	publish(platform.Version{Era: 1, Revision: 90}, "30", fromPeer, time.Now())
	if got := string(f.View().Rows["config"]); got != "30" || f.version() != (platform.Version{Era: 2, Revision: 3}) || f.Age() < time.Minute {
		t.Errorf("version %s of the configuration at %s, confirmed %s ago", got, f.version(), f.Age())
	}
}
