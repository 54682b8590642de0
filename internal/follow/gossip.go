package follow

import (
	"context"
	"time"

	"geraniumcroft/internal/platform"
)

const (
	// gossipPause is how often peers are asked whether they have a later copy. The store may
	// turn this VM away while it serves others, and VMs that don't follow the feed
	// themselves learn all changes that way.
	gossipPause = 800 * time.Millisecond
	// peerTimeout bounds the answers of peers: one that is dead, and a large copy from another.
	peerTimeout = 2500 * time.Millisecond
)

// gossip asks peers again and again, and at once when the store did not answer.
func (f *Follower) gossip(ctx context.Context) {
	for {
		select {
		case <-time.After(gossipPause):
		case <-f.askSoon:
		case <-ctx.Done():
			return
		}
		f.askPeers(ctx, peerTimeout)
	}
}

func (f *Follower) askPeers(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	revision := f.revision()
	asked := time.Now()
	change, age, ok := f.Peers.Fetch(ctx, f.Table, revision)
	if !ok {
		return
	}
	f.hear(change.ByFeed)
	if change.Settling {
		f.peersSettle(asked, change.SettlingLeft)
	}
	switch {
	case change.Whole:
		f.publish(platform.TableView{Revision: change.Revision, Rows: change.Written}, "peer", asked.Add(-age))
	case !change.Empty():
		f.applyTo(revision, change, "peer", asked.Add(-age))
	case change.UnchangedUpTo >= revision:
		f.confirm(asked.Add(-age))
	}
	f.unchangedByPeer(revision, change)
}

// unchangedByPeer notes up to which revision this VM's copy is the newest by a peer's word. Peers may
// have the same copy of another revision: VMs read a table at different revisions of the store,
// between which other tables changed. Compared by their revisions alone such copies would stand
// unconfirmed until the next change, and each VM would ask the store.
//
// It comes after the change itself, and counts only if this VM lacks nothing of it: a copy that is
// said to be the newest up to a revision behind the change would never get it. A peer that has
// nothing beyond the revision that was asked for has the same copy, whatever its revision.
func (f *Follower) unchangedByPeer(asked uint64, change platform.TableChange) {
	now := f.revision()
	if now >= change.Revision || now == asked && change.Empty() {
		f.unchangedUpTo(change.UnchangedUpTo)
	}
}
