package peer

import (
	"context"
	"time"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// syncRound compares versions with a few random peers of the view, and with one
// seed that no live member answers for.
func (n *Node) syncRound() {
	now := time.Now()
	n.load.refresh()
	n.load.expire(now, n.mayServe)
	n.snapshot.trim(now)
	n.refreshView(now)
	n.mu.Lock()
	peers := n.syncPeers()
	seed := n.unknownSeed()
	n.mu.Unlock()
	for _, m := range peers {
		n.spawn(func(ctx context.Context) { n.syncMember(ctx, m) })
	}
	if seed != "" {
		n.spawn(func(ctx context.Context) { _ = n.syncWith(ctx, "", seed) })
	}
}

func (n *Node) mayServe(vm string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.table.Get(vm)
	return ok && m.MayServe()
}

// syncPeers picks this round's peers. In a large fleet one of them shares
// targets, so that load is heard from those whose load matters.
func (n *Node) syncPeers() []membership.Member {
	inView := func(m *membership.Member) bool { return n.view[m.Name] != "" }
	peers := n.table.Sample(n.settings.SyncPeers, inView)
	if n.wholeFleetInView() || n.options.SharesTargets == nil || len(peers) == 0 {
		return peers
	}
	sharing := n.table.Sample(1, func(m *membership.Member) bool { return n.options.SharesTargets(m.Name) })
	return append(peers[:len(peers)-1], sharing...)
}

// unknownSeed returns the next seed that is not the address of a live member.
func (n *Node) unknownSeed() string {
	known := map[string]bool{n.options.Address: true}
	for _, m := range n.table.ServingMembers() {
		known[m.Address] = !m.LastMessage.IsZero()
	}
	for range n.options.Seeds {
		seed := n.options.Seeds[n.nextSeed%len(n.options.Seeds)]
		n.nextSeed++
		if !known[seed] {
			return seed
		}
	}
	return ""
}

func (n *Node) syncMember(ctx context.Context, m membership.Member) {
	if err := n.syncWith(ctx, m.Name, m.Address); err != nil {
		n.suspect(m)
	}
}

// syncWith compares versions with one peer, until neither lacks anything. The
// name is empty for a seed.
func (n *Node) syncWith(ctx context.Context, name, address string) error {
	n.count(func(c *Counters) *uint64 { return &c.Syncs })
	for range maxTransfers {
		answer, err := n.syncOnce(ctx, name, address)
		if err != nil {
			return err
		}
		if err := n.openAnswer(name, answer.GetEnvelope()); err != nil {
			return err
		}
		n.load.take(answer.GetEnvelope(), answer.GetLoad(), answer.GetLoadSeen())
		rose := n.apply(answer.GetConfiguration())
		if rose {
			n.passOn(answer.GetEnvelope().GetVm())
		}
		if !rose || n.options.Store.Current().Version >= answer.GetEnvelope().GetVersion() {
			n.offerNewer(answer.GetEnvelope())
			return nil
		}
	}
	return nil
}

func (n *Node) syncOnce(ctx context.Context, name, address string) (*peerpb.SyncResponse, error) {
	var answer *peerpb.SyncResponse
	err := n.call(ctx, address, n.settings.TransferTimeout, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		answer, err = client.Sync(ctx, n.syncRequest(name))
		return err
	})
	return answer, err
}

func (n *Node) syncRequest(to string) *peerpb.SyncRequest {
	load, seen := n.loadFor(to)
	return &peerpb.SyncRequest{
		Envelope: n.seal(to, maxSyncUpdates),
		Load:     load,
		LoadSeen: seen,
		Joining:  !n.Reachable(),
		Digest:   n.digestToCompare(),
	}
}

// digestToCompare returns the digest of this VM's members now and then, once it
// is quiet. Rumours die out and the rotation takes minutes to bring a large
// fleet's every member; a difference of digests brings all at once.
func (n *Node) digestToCompare() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.repaired) < n.settings.RepairPeriod || !n.table.Quiescent() {
		return 0
	}
	n.repaired = time.Now()
	return n.table.Digest()
}

// differs reports whether a peer's members are not this VM's.
func (n *Node) differs(digest uint64) bool {
	if digest == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return digest != n.table.Digest()
}

// offerNewer pushes to a peer whose answer showed that it lacks something.
func (n *Node) offerNewer(e *peerpb.Envelope) {
	if e.GetVersion() >= n.options.Store.Current().Version {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if m, ok := n.table.Get(e.GetVm()); ok && m.MayServe() {
		n.startPush(m)
	}
}
