package peer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// StartLeaving tells peers that this VM is being stopped. It still serves.
func (n *Node) StartLeaving(ctx context.Context) {
	n.mu.Lock()
	n.table.StartLeaving()
	n.mu.Unlock()
	n.tellLeaving(ctx, false)
}

// Leave tells peers that this VM takes no more requests and ends, so that nobody
// waits for it to confirm a change. It returns once the view's peers answered or
// the context ended; the others learn of it by gossip.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.table.Leave(time.Now())
	n.mu.Unlock()
	n.tellLeaving(ctx, true)
}

func (n *Node) tellLeaving(ctx context.Context, stopped bool) {
	n.mu.Lock()
	peers := n.table.Sample(n.settings.ViewSize, func(*membership.Member) bool { return true })
	n.mu.Unlock()
	var group errgroup.Group
	for _, m := range peers {
		group.Go(func() error {
			n.tellOneLeaving(ctx, m, stopped)
			return nil
		})
	}
	_ = group.Wait()
}

func (n *Node) tellOneLeaving(ctx context.Context, m membership.Member, stopped bool) {
	_ = n.call(ctx, m.Address, n.settings.CallTimeout, func(ctx context.Context, client peerpb.PeerClient) error {
		_, err := client.Leave(ctx, &peerpb.LeaveRequest{Envelope: n.seal(m.Name, 0), Stopped: stopped})
		return err
	})
}

func (n *Node) recordStopped(id membership.Identity) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Merge([]membership.Update{{
		Name: id.Name, Incarnation: id.Incarnation, Version: id.Version,
		Address: id.Address, DataCentre: id.DataCentre,
		State: membership.Left, Leaving: true,
	}}, time.Now())
}
