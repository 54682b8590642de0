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
	// confirmMinAge and confirmMaxAge are the ages of a copy between which the store is asked
	// whether the copy is current. A pending feed call looks the same whether nothing has changed
	// or the store has lost the call. A change makes all VMs call the feed again at the same
	// moment, so one short silence of the store can lose the calls of all of them; no VM then saw
	// a change for up to 9 s, the timeout of the call. With this check a change is in force at
	// most 1.6 s after it was acknowledged (confirmMaxAge, confirmInterval, confirmPeerTimeout),
	// or 1.2 s after the end of an outage (readTimeout, retryDelay). The operator is promised 2 s.
	// TestHeldCallsDoNotHideAChange covers both cases.
	//
	// The age is random each time and peers are asked first, so that the request of one VM serves
	// the others as well: without faults six VMs make 2.8 calls a second for a table, instead of 7
	// if each VM asked (TestCalmFleetSharesItsQuestions).
	confirmMinAge = 600 * time.Millisecond
	confirmMaxAge = 1200 * time.Millisecond
	// confirmInterval is the time between two checks of the age.
	confirmInterval = 100 * time.Millisecond
	// confirmPeerTimeout bounds a request to peers for a newer copy.
	confirmPeerTimeout = 300 * time.Millisecond
)

// errSuperseded is the cause with which a feed call is cancelled that missed a change which a
// later call returned.
var errSuperseded = errors.New("feed call superseded by a later call")

// confirmLoop polls the store without waiting whenever neither the store nor a peer has confirmed
// the copy for a while. It returns when ctx ends.
func (f *Follower) confirmLoop(ctx context.Context) {
	for limit := randomConfirmAge(); sleep.For(ctx, confirmInterval); {
		if f.copiesFromPeers() || f.View() == nil || f.storeUnavailable() || f.defersToFeedPeers() || f.Age() < limit {
			continue
		}
		if f.fetchFromPeers(ctx, confirmPeerTimeout); f.Age() >= limit {
			f.confirmWithStore(ctx)
		}
		limit = randomConfirmAge()
	}
}

// defersToFeedPeers reports whether this VM leaves the store to peers that follow the feed,
// because it does not follow the feed itself and such a peer has answered recently. It then asks
// the store only in its turn.
func (f *Follower) defersToFeedPeers() bool { return !f.FollowsFeed() && f.hasFeedPeer() }

func randomConfirmAge() time.Duration {
	return confirmMinAge + rand.N(confirmMaxAge-confirmMinAge)
}

// confirmWithStore polls the feed without waiting. If that fails, the pending feed call is not
// reliable either and the table is read again.
func (f *Follower) confirmWithStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(platform.WithPurpose(ctx, platform.PurposeConfirm), readTimeout)
	defer cancel()
	changed, err := f.pollFeed(ctx, 0)
	switch {
	case err != nil:
		f.requestReread(err)
	case changed:
		f.Logger.Warn("feed did not bring a change", zap.String("table", f.Table), zap.Stringer("version", f.version()))
		f.cancelFeedCall(errSuperseded)
	}
}

// requestReread records a failed call and makes Run read the whole table at once.
func (f *Follower) requestReread(err error) {
	f.recordStoreResult(err)
	f.mu.Lock()
	f.rereadWanted = true
	f.mu.Unlock()
	f.cancelFeedCall(err)
}

// takeReread reports whether a reread was requested since the last call, and clears the request.
func (f *Follower) takeReread() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rereadWanted := f.rereadWanted
	f.rereadWanted = false
	return rereadWanted
}
