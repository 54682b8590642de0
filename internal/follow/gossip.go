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
	if ok && change.Settling {
		f.peersSettle()
	}
	if ok {
		f.hear(change.ByFeed)
	}
	switch {
	case !ok:
	case change.Whole:
		f.unchangedUpTo(change.UnchangedUpTo)
		f.publish(platform.TableView{Revision: change.Revision, Rows: change.Written}, "peer", asked.Add(-age))
	case !change.Empty():
		f.unchangedUpTo(change.UnchangedUpTo)
		f.applyTo(revision, change, "peer", asked.Add(-age))
	case change.UnchangedUpTo >= revision:
		f.confirmByPeer(change, asked.Add(-age))
	}
}

// confirmByPeer notes that a peer has nothing beyond this VM's copy, which was the newest then. The
// peer's copy may be of an earlier revision: VMs read a table at different revisions of the
// store, between which other tables changed. Compared by their revisions alone the copies of
// all VMs that had read later than those that follow the feed stood unconfirmed until the next
// change; of 195 VMs after a loss of all power most asked the store every second, 3,000 calls
// in a minute.
func (f *Follower) confirmByPeer(change platform.TableChange, at time.Time) {
	f.unchangedUpTo(change.UnchangedUpTo)
	f.confirm(at)
}
