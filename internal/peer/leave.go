package peer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// StartLeaving announces to peers that this VM is leaving. It still serves. StartLeaving returns
// once the peers have answered or ctx has ended.
func (n *Node) StartLeaving(ctx context.Context) {
	n.mu.Lock()
	n.table.StartLeaving()
	n.mu.Unlock()
	n.announceLeaving(ctx, false)
}

// Leave announces to peers that this VM takes no more requests and ends, so that no change waits
// for its confirmation. It returns once the notified peers have answered or ctx has ended. All
// other peers learn of it by gossip.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.table.Leave(time.Now())
	n.mu.Unlock()
	n.announceLeaving(ctx, true)
}

// announceLeaving sends the announcement to as many random peers as fit the view, concurrently.
func (n *Node) announceLeaving(ctx context.Context, stopped bool) {
	n.mu.Lock()
	peers := n.table.Sample(n.settings.ViewSize, func(*membership.Member) bool { return true })
	n.mu.Unlock()
	var group errgroup.Group
	for _, m := range peers {
		group.Go(func() error {
			n.sendLeave(ctx, m, stopped)
			return nil
		})
	}
	_ = group.Wait()
}

func (n *Node) sendLeave(ctx context.Context, m membership.Member, stopped bool) {
	_ = n.call(ctx, m.Address, n.settings.CallTimeout, func(ctx context.Context, client peerpb.PeerClient) error {
		_, err := client.Leave(ctx, &peerpb.LeaveRequest{Envelope: n.newEnvelope(m.Name, 0), Stopped: stopped})
		return err
	})
}

// recordStopped records that a VM has announced its end.
func (n *Node) recordStopped(id membership.Identity) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Merge([]membership.Update{{
		Name: id.Name, Incarnation: id.Incarnation, Version: id.Version,
		Address: id.Address, DataCentre: id.DataCentre,
		State: membership.Left, Leaving: true,
	}}, time.Now())
}
