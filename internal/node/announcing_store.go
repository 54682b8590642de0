package node

import (
	"context"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/peer"
)

// announcingStore pushes each accepted change to the peers immediately, so that it reaches every VM
// even if the store becomes unavailable right after the commit.
type announcingStore struct {
	*confstore.Store
	peers *peer.Node
}

// Propose implements adminapi.Store.
func (s announcingStore) Propose(ctx context.Context, p confstore.Proposal) (config.Change, error) {
	before := s.Current().Version
	change, err := s.Store.Propose(ctx, p)
	if err == nil {
		s.announce(before)
	}
	return change, err
}

// announce pushes all changes after the given version. A proposal that followed another VM's change
// has applied that change as well, so both are pushed.
func (s announcingStore) announce(after uint64) {
	changes, ok := s.ChangesAfter(after, maxAnnounced)
	if ok && len(changes) > 0 {
		s.peers.Announce(changes)
	}
}

// maxAnnounced bounds the changes of one push. Anti-entropy transfers the rest.
const maxAnnounced = 64

// Change proposes a change on this VM and, like the admin API, waits until it is in force on every
// VM that may serve.
func (n *Node) Change(ctx context.Context, p confstore.Proposal) (confstore.Acceptance, error) {
	change, err := announcingStore{n.store, n.peers}.Propose(ctx, p)
	if err != nil {
		return confstore.Acceptance{}, err
	}
	return n.store.Wait(ctx, change.Version, n.roster), nil
}
