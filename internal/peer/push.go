package peer

import (
	"context"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// push is the state of the pushes to one peer. At most one call to a peer is in progress, so a
// silent peer occupies one goroutine however many changes there are.
type push struct {
	// repeat is set if there were more changes while a push was in progress.
	repeat bool
}

// Announce pushes changes that this VM has applied: to every peer if the whole fleet is in the
// view, and otherwise to a few peers, which forward them.
func (n *Node) Announce(changes []config.Change) {
	if len(changes) == 0 {
		return
	}
	n.pushToPeers("")
}

// pushToPeers pushes what this VM has in force to peers, except to the one from which it came.
func (n *Node) pushToPeers(except string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.pushReceivers(except) {
		n.startPush(m)
	}
}

// pushReceivers returns the peers to push to. The caller holds n.mu.
func (n *Node) pushReceivers(except string) []membership.Member {
	if n.settings.PushFanout < 0 {
		return nil
	}
	others := func(m *membership.Member) bool { return m.Name != except }
	if n.wholeFleetInView() {
		return n.table.Sample(n.settings.ViewSize, others)
	}
	inView := func(m *membership.Member) bool { return others(m) && n.view[m.Name] != "" }
	return n.table.Sample(n.settings.PushFanout, inView)
}

// wholeFleetInView reports whether the view can hold all peers that may serve. The caller holds
// n.mu.
func (n *Node) wholeFleetInView() bool {
	return n.table.FleetSize()-1 <= n.settings.ViewSize
}

// startPush starts a push to a peer, or another one after the push that is in progress. The caller
// holds n.mu.
func (n *Node) startPush(m membership.Member) {
	if running := n.pushes[m.Name]; running != nil {
		running.repeat = true
		return
	}
	n.pushes[m.Name] = &push{}
	if !n.spawnLocked(func(ctx context.Context) { n.runPush(ctx, m) }) {
		delete(n.pushes, m.Name)
	}
}

// runPush pushes to a peer until no further round is requested.
func (n *Node) runPush(ctx context.Context, m membership.Member) {
	for {
		n.pushUntilCurrent(ctx, m)
		if n.finishPush(m.Name) {
			return
		}
		m = n.currentMember(m)
	}
}

// currentMember returns the current state of a member. If a VM is known only from the list, the
// first round compares versions and then requests another round, which pushes. With the old state
// of the member, that round would compare versions again, endlessly and without a pause.
func (n *Node) currentMember(m membership.Member) membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now, ok := n.table.Get(m.Name); ok {
		return now
	}
	return m
}

// finishPush ends the push to a peer and reports true, unless another round was requested in the
// meantime.
func (n *Node) finishPush(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pushes[name].repeat && !n.stopped {
		n.pushes[name].repeat = false
		return false
	}
	delete(n.pushes, name)
	return true
}

// pushUntilCurrent pushes until the peer has what is in force on this VM, in at most maxTransfers
// messages.
func (n *Node) pushUntilCurrent(ctx context.Context, m membership.Member) {
	if m.LastMessage.IsZero() && m.Incarnation == 0 {
		// The member is known only from the list and its version is unknown, so compare first.
		n.syncMember(ctx, m)
		return
	}
	known := m.Version
	for range maxTransfers {
		configuration := n.configurationAfter(known)
		if configuration == nil {
			return
		}
		version, err := n.pushOnce(ctx, m, configuration)
		if err != nil {
			n.startVerification(m)
			return
		}
		if version == known {
			// The peer has applied nothing. It logs the reason itself.
			return
		}
		known = version
	}
}

// pushOnce sends one push and returns the version that the peer has in force afterwards.
func (n *Node) pushOnce(ctx context.Context, m membership.Member, c *peerpb.Configuration) (uint64, error) {
	n.count(func(c *Counters) *uint64 { return &c.Pushes })
	timeout := n.settings.CallTimeout
	if c.Snapshot != nil {
		timeout = n.settings.TransferTimeout
	}
	var answer *peerpb.PushResponse
	err := n.call(ctx, m.Address, timeout, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		request := &peerpb.PushRequest{Envelope: n.newEnvelope(m.Name, maxProbeUpdates), Configuration: c}
		answer, err = client.Push(ctx, request, compressionOptions(c)...)
		return err
	})
	if err != nil {
		return 0, err
	}
	return answer.GetEnvelope().GetVersion(), n.acceptAnswer(m.Name, answer.GetEnvelope())
}

// forwardChanges pushes newly applied changes to further peers, in a fleet of which the first push
// does not reach every VM.
func (n *Node) forwardChanges(from string) {
	n.mu.Lock()
	small := n.wholeFleetInView()
	n.mu.Unlock()
	if !small {
		n.pushToPeers(from)
	}
}
