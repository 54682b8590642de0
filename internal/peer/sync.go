package peer

import (
	"context"
	"time"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// syncRound compares versions with a few random peers of the view, and with one seed that is not
// the address of a live member.
func (n *Node) syncRound() {
	now := time.Now()
	n.load.refresh()
	n.load.expire(now, n.mayServe)
	n.snapshot.evictExpired(now)
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

// syncPeers returns the peers of this round. In a large fleet one of them shares targets with this
// VM, so that load is received from the VMs whose load matters. The caller holds n.mu.
func (n *Node) syncPeers() []membership.Member {
	inView := func(m *membership.Member) bool { return n.view[m.Name] != "" }
	peers := n.table.Sample(n.settings.SyncPeers, inView)
	if n.wholeFleetInView() || n.options.SharesTargets == nil || len(peers) == 0 {
		return peers
	}
	sharing := n.table.Sample(1, func(m *membership.Member) bool { return n.options.SharesTargets(m.Name) })
	return append(peers[:len(peers)-1], sharing...)
}

// unknownSeed returns the next seed that is not the address of a member that may serve and has sent
// a message, or an empty string. The caller holds n.mu.
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

// syncMember compares versions with a member and starts to verify it if that fails.
func (n *Node) syncMember(ctx context.Context, m membership.Member) {
	if err := n.syncWith(ctx, m.Name, m.Address); err != nil {
		n.startVerification(m)
	}
}

// syncWith compares versions with one peer and transfers what this VM lacks, in at most
// maxTransfers calls; then it pushes what the peer lacks. The name is empty for a seed, whose VM is
// not known.
func (n *Node) syncWith(ctx context.Context, name, address string) error {
	n.count(func(c *Counters) *uint64 { return &c.Syncs })
	for range maxTransfers {
		answer, err := n.syncOnce(ctx, name, address)
		if err != nil {
			return err
		}
		if err := n.acceptAnswer(name, answer.GetEnvelope()); err != nil {
			return err
		}
		n.load.receive(answer.GetEnvelope(), answer.GetLoad(), answer.GetLoadSeen())
		advanced := n.apply(answer.GetConfiguration())
		if advanced {
			n.forwardChanges(answer.GetEnvelope().GetVm())
		}
		if !advanced || n.options.Store.Current().Version >= answer.GetEnvelope().GetVersion() {
			n.pushIfBehind(answer.GetEnvelope())
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
		Envelope: n.newEnvelope(to, maxSyncUpdates),
		Load:     load,
		LoadSeen: seen,
		Joining:  !n.Reachable(),
		Digest:   n.digestIfDue(),
	}
}

// digestIfDue returns the digest of this VM's members if RepairPeriod has passed and no rumour is
// pending, and 0 otherwise. Rumours may die out before they reach every VM, and it takes minutes
// until the rotation has sent every member of a large fleet. If the digests differ, all members are
// sent at once.
func (n *Node) digestIfDue() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.lastRepair) < n.settings.RepairPeriod || !n.table.Quiescent() {
		return 0
	}
	n.lastRepair = time.Now()
	return n.table.Digest()
}

// digestDiffers reports whether a peer's members differ from this VM's. It is false for the digest
// 0.
func (n *Node) digestDiffers(digest uint64) bool {
	if digest == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return digest != n.table.Digest()
}

// pushIfBehind pushes to a peer whose envelope has a lower version than this VM.
func (n *Node) pushIfBehind(e *peerpb.Envelope) {
	if e.GetVersion() >= n.options.Store.Current().Version {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if m, ok := n.table.Get(e.GetVm()); ok && m.MayServe() {
		n.startPush(m)
	}
}
