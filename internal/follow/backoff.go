package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumcroft/internal/sleep"
)

const (
	// feedPeerValidity is how long an answer of a feed peer counts: a little longer than two
	// requests to peers. If all feed peers have failed it runs out before the copy reaches
	// maxPeerCopyAge, so that no VM waits for its turn then.
	feedPeerValidity = 2 * time.Second
	// retryDelayPerVM times the fleet size is the retry delay of a VM that has a feed peer while
	// the store is unavailable. All such VMs together then make 25 calls a second for a table,
	// whatever the size of the fleet.
	retryDelayPerVM = 40 * time.Millisecond
)

// recordPeerRole records whether a peer that answered follows the feed, or relays it.
func (f *Follower) recordPeerRole(followsFeed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if followsFeed {
		f.lastFeedPeerAnswer = time.Now()
	}
}

// hasFeedPeer reports whether a feed peer has answered recently. Feed peers call the store on
// their own, so that the copy of such a peer is as current as the store allows.
func (f *Follower) hasFeedPeer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastFeedPeerAnswer.IsZero() && time.Since(f.lastFeedPeerAnswer) < feedPeerValidity
}

// storeRetryDelay returns the delay between two calls of this VM to an unavailable store. Relays do
// not wait as long as others: the store may turn away all VMs that follow the feed, and what a relay
// reads reaches the others.
func (f *Follower) storeRetryDelay() time.Duration {
	if !f.hasFeedPeer() || f.Relays() {
		return peerRetryDelay
	}
	return max(peerRetryDelay, time.Duration(f.VMs())*retryDelayPerVM)
}

// awaitTurn waits until it is this VM's turn to call a store that does not answer its peers, and
// reports whether it is. VMs that follow the feed, and those without a feed peer, do not wait.
// For the others the wait ends early, without a turn, if peers have a current copy again.
func (f *Follower) awaitTurn(ctx context.Context) bool {
	if f.View() == nil || !f.defersToFeedPeers() {
		return true
	}
	// All copies reach the maximum age at the same moment, so the first turn is random.
	return f.waitForPeers(ctx, rand.N(f.firstTurnWithin()))
}

// firstTurnWithin returns the time within which this VM's first turn comes. The fewer relays there
// are, the sooner are their turns: if the store turns away all VMs that follow the feed, all others
// wait for what the first relay reads.
func (f *Follower) firstTurnWithin() time.Duration {
	if !f.Relays() {
		return f.storeRetryDelay()
	}
	return min(peerRetryDelay, max(retryDelay, time.Duration(f.RelayCount())*retryDelayPerVM))
}

// waitForPeers waits for the given time and reports whether this VM has to call the store then. It
// returns false as soon as peers have a current copy again or ctx ends, and true early if this VM
// is to follow the feed itself or has lost its last feed peer.
func (f *Follower) waitForPeers(ctx context.Context, wait time.Duration) bool {
	hadFeedPeer := f.hasFeedPeer()
	for start := time.Now(); time.Since(start) < wait; {
		if !sleep.For(ctx, retryDelay) || f.copiesFromPeers() {
			return false
		}
		if f.FollowsFeed() || hadFeedPeer && !f.hasFeedPeer() {
			return true
		}
	}
	return true
}
