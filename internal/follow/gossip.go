package follow

import (
	"context"
	"time"

	"geraniumcroft/internal/platform"
)

const (
	// gossipInterval is how often peers are asked for a later copy. The store may reject this VM
	// while it serves others, and VMs that do not follow the feed themselves learn of all changes
	// this way.
	gossipInterval = 800 * time.Millisecond
	// relayGossipInterval is the same for a relay, on which most other VMs wait.
	relayGossipInterval = 400 * time.Millisecond
	// peerTimeout bounds a request to peers: one of them may be dead, and another may send a large
	// copy.
	peerTimeout = 2500 * time.Millisecond
)

// gossip asks peers periodically, and at once when the store did not answer. It returns when ctx
// ends.
func (f *Follower) gossip(ctx context.Context) {
	for {
		select {
		case <-time.After(f.gossipInterval()):
		case <-f.askPeersNow:
		case <-ctx.Done():
			return
		}
		f.fetchFromPeers(ctx, peerTimeout)
	}
}

func (f *Follower) gossipInterval() time.Duration {
	if f.Relays() {
		return relayGossipInterval
	}
	return gossipInterval
}

func (f *Follower) fetchFromPeers(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	have := f.cursor()
	askedAt := time.Now()
	change, age, ok := f.Peers.Fetch(ctx, f.Table, have)
	if !ok {
		return
	}
	if f.Eras != nil && change.Era > 0 {
		f.Eras.Raise(change.Era)
	}
	// A relay does not count other relays, which may have lost the feed together with it.
	f.recordPeerRole(change.ByFeed || change.ByRelay && !f.Relays())
	if change.Settling {
		f.recordPeerSettling(askedAt, change.SettlingLeft)
	}
	confirmed := confirmation{at: askedAt.Add(-age), steadySince: askedAt.Add(-max(age, change.SteadyFor))}
	switch {
	case change.Whole:
		f.publish(platform.TableView{Version: change.Version, Rows: change.Written}, fromPeer, confirmed)
	case !change.Empty():
		f.applyChange(have.Version, change, fromPeer, confirmed)
	case change.Era == have.Era && change.UnchangedUpTo >= have.Revision:
		f.markConfirmed(confirmed)
	}
	f.mergePeerUnchanged(have.Version, change)
}

// mergePeerUnchanged takes over from a peer up to which revision of the store this VM's copy is
// current, if both copies are of the same era. A peer may have the same copy under a different
// revision: VMs read the table at different revisions of the store, between which only other tables
// changed. If copies were compared by their revisions alone, such a copy would remain unconfirmed until
// the next change, and each VM would ask the store.
//
// It is called after the change has been applied, and has an effect only if this VM lacks nothing
// of the change: a copy that counts as current up to a revision beyond the missing change would
// never receive it. A peer that has nothing beyond the requested revision has the same copy,
// whatever the peer's revision.
func (f *Follower) mergePeerUnchanged(requested platform.Version, change platform.TableChange) {
	now := f.version()
	if now.Era != change.Era {
		return
	}
	if !now.Before(change.Version) || now == requested && change.Empty() {
		f.raiseUnchangedUpTo(platform.Version{Era: change.Era, Revision: change.UnchangedUpTo})
	}
}
