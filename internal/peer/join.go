package peer

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"geraniumcroft/internal/membership"
)

// joinPeers is the number of known members with which a joining VM compares versions concurrently,
// besides seeds.
const joinPeers = 5

// ErrNoPeer reports that no peer has answered.
var ErrNoPeer = errors.New("no peer answered")

// Join compares versions with seeds and listed VMs, so that this VM gets the newest configuration
// that they have. It returns ErrNoPeer if none of them answers.
func (n *Node) Join(ctx context.Context) error {
	answers := make(chan struct{}, joinPeers+len(n.options.Seeds))
	var group errgroup.Group
	for address, name := range n.joinAddresses() {
		group.Go(func() error {
			if n.syncWith(ctx, name, address) == nil {
				answers <- struct{}{}
			}
			return nil
		})
	}
	_ = group.Wait()
	if len(answers) == 0 {
		return ErrNoPeer
	}
	return nil
}

// joinAddresses returns the names of the VMs to ask, by address. The name of a seed is empty, since
// it is not known yet.
func (n *Node) joinAddresses() map[string]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := map[string]string{}
	for _, m := range n.table.Sample(joinPeers, func(*membership.Member) bool { return true }) {
		names[m.Address] = m.Name
	}
	for _, seed := range n.options.Seeds {
		if _, known := names[seed]; !known && seed != n.options.Address && len(names) < 2*joinPeers {
			names[seed] = ""
		}
	}
	return names
}
