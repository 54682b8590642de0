package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

const (
	// confirmLeast and confirmMost are the ages of a copy between which the store is asked
	// whether it is still the newest. A call to the feed that waits looks the same whether
	// nothing has changed or the store lost it, and a change makes all VMs call at the same
	// moment, so all may lose theirs in one short silence: nobody had a change for up to 9 s
	// then, the time limit of the call. With the question a change is in force 1.6 s after
	// its acknowledgement at most (confirmMost, confirmLook, freshPeerTimeout), or 1.2 s
	// after the end of an outage (readTimeout, retryPause), of the 2 s that the operator is
	// promised; TestHeldCallsDoNotHideAChange plays both.
	//
	// The age is drawn anew each time, and peers are asked first, so that one VM's question
	// serves the others: six VMs make 2.8 calls a second for a table in calm times, in place
	// of 7 if each asked (TestCalmFleetSharesItsQuestions).
	confirmLeast = 600 * time.Millisecond
	confirmMost  = 1200 * time.Millisecond
	// confirmLook is the pause between two looks at the age.
	confirmLook = 100 * time.Millisecond
	// freshPeerTimeout bounds the question to peers for a fresher copy.
	freshPeerTimeout = 300 * time.Millisecond
)

// errOvertaken ends a call to the feed that did not bring a change which a later call has
// brought.
var errOvertaken = errors.New("a later call brought the change")

// keepConfirmed asks the store for news without waiting, whenever neither the store nor a
// peer has confirmed the copy for a while.
func (f *Follower) keepConfirmed(ctx context.Context) {
	for limit := confirmLimit(); sleep.For(ctx, confirmLook); {
		if f.learnsByPeers() || f.View() == nil || f.lostStore() || f.leavesToFollowers() || f.Age() < limit {
			continue
		}
		if f.askPeers(ctx, freshPeerTimeout); f.Age() >= limit {
			f.confirmByStore(ctx)
		}
		limit = confirmLimit()
	}
}

// leavesToFollowers reports whether a VM that follows the feed is heard, so that this one asks the
// store in its turn only.
func (f *Follower) leavesToFollowers() bool { return !f.FollowsFeed() && f.hearsFollowers() }

func confirmLimit() time.Duration {
	return confirmLeast + rand.N(confirmMost-confirmLeast)
}

// confirmByStore makes one call that the store answers at once. If it fails, the call to the
// feed that is under way is not to be trusted either.
func (f *Follower) confirmByStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(platform.WithPurpose(ctx, platform.PurposeConfirm), readTimeout)
	defer cancel()
	changed, err := f.readFeed(ctx, 0)
	switch {
	case err != nil:
		f.doubtStore(err)
	case changed:
		f.Logger.Warn("feed did not bring a change", zap.String("table", f.Table), zap.Uint64("revision", f.revision()))
		f.endFeedCall(errOvertaken)
	}
}

// doubtStore makes the table be read anew at once.
func (f *Follower) doubtStore(err error) {
	f.note(err)
	f.mu.Lock()
	f.doubted = true
	f.mu.Unlock()
	f.endFeedCall(err)
}

// takeDoubt reports whether the store was doubted since the last time.
func (f *Follower) takeDoubt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	doubted := f.doubted
	f.doubted = false
	return doubted
}
