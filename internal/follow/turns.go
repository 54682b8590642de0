package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"geraniumcroft/internal/sleep"
)

const (
	// leftToFollowers is how long the word of a peer that follows the feed counts: two
	// questions to peers and some. Where all followers died it is over before the copy is
	// stale, so that no VM waits for its turn then.
	leftToFollowers = 2 * time.Second
	// turnPerVM is how much each VM adds to the pause between two tries of one that hears
	// followers of the feed while the store is away: all of them together then make 25 a
	// second for a table, whatever the size of the fleet.
	turnPerVM = 40 * time.Millisecond
)

// hear notes what a peer's answer says of the peer.
func (f *Follower) hear(followsFeed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if followsFeed {
		f.followerHeard = time.Now()
	}
}

// hearsFollowers reports whether a VM that follows the feed has answered lately. It asks the
// store by itself, so its copy is as good as the store lets any be.
func (f *Follower) hearsFollowers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.followerHeard.IsZero() && time.Since(f.followerHeard) < leftToFollowers
}

// turnPause is the pause between two tries of this VM at a store that is away.
func (f *Follower) turnPause() time.Duration {
	if !f.hearsFollowers() {
		return calmRetryPause
	}
	return max(calmRetryPause, time.Duration(f.VMs())*turnPerVM)
}

// awaitTurn waits until it is this VM's turn to ask a store that its peers do not hear from,
// and reports whether that has come. VMs that follow the feed, and those that hear no such VM,
// ask at once. For the others their peers' news end the wait.
func (f *Follower) awaitTurn(ctx context.Context) bool {
	if f.View() == nil || !f.leavesToFollowers() {
		return true
	}
	// All copies turn old at the same moment, so the first turn is drawn.
	return f.waitCalmly(ctx, rand.N(f.turnPause()))
}

// waitCalmly waits for a time, and reports whether it is over. The wait ends before when this
// VM learns by its peers again, when it is to follow the feed itself, or when it hears no
// follower of the feed any more.
func (f *Follower) waitCalmly(ctx context.Context, wait time.Duration) bool {
	heard := f.hearsFollowers()
	for began := time.Now(); time.Since(began) < wait; {
		if !sleep.For(ctx, retryPause) || f.learnsByPeers() {
			return false
		}
		if f.FollowsFeed() || heard && !f.hearsFollowers() {
			return true
		}
	}
	return true
}
