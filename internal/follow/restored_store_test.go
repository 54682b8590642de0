package follow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/harness/standin/feedsim"
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
		s.client = s.Client()
		s.configure(1)
		s.follower = New(optionsOf(s.client, &fakePeers{}))
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
