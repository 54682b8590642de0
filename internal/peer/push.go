package peer

import (
	"context"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// push is the state of the pushing to one peer. There is at most one call under
// way to a peer, so a silent one holds one goroutine however many changes come.
type push struct {
	again bool
}

// Announce pushes changes that this VM has applied: to every peer of a small
// fleet, to a few of a large one, which push them on.
func (n *Node) Announce(changes []config.Change) {
	if len(changes) == 0 {
		return
	}
	n.pushToSome("")
}

// pushToSome pushes what is in force here to peers other than the one that it
// came from.
func (n *Node) pushToSome(except string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.pushTargets(except) {
		n.startPush(m)
	}
}

func (n *Node) pushTargets(except string) []membership.Member {
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

func (n *Node) wholeFleetInView() bool {
	return n.table.FleetSize()-1 <= n.settings.ViewSize
}

func (n *Node) startPush(m membership.Member) {
	if running := n.pushes[m.Name]; running != nil {
		running.again = true
		return
	}
	n.pushes[m.Name] = &push{}
	if !n.spawnLocked(func(ctx context.Context) { n.runPush(ctx, m) }) {
		delete(n.pushes, m.Name)
	}
}

func (n *Node) runPush(ctx context.Context, m membership.Member) {
	for {
		n.bringUp(ctx, m)
		if n.endPush(m.Name) {
			return
		}
		m = n.asKnownNow(m)
	}
}

// asKnownNow returns what this VM holds of a member by now. A round that compared
// versions with a VM known from the list alone asks for another one, to push; with
// the member as it was before, that would compare again, without end or pause.
func (n *Node) asKnownNow(m membership.Member) membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now, ok := n.table.Get(m.Name); ok {
		return now
	}
	return m
}

// endPush reports whether the pushing to a peer is over; it is not when more
// came meanwhile.
func (n *Node) endPush(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pushes[name].again && !n.stopped {
		n.pushes[name].again = false
		return false
	}
	delete(n.pushes, name)
	return true
}

// bringUp pushes until the peer has what is in force here.
func (n *Node) bringUp(ctx context.Context, m membership.Member) {
	if m.LastMessage.IsZero() && m.Incarnation == 0 {
		// Known from the list alone: its version is not known, so compare first.
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
			n.suspect(m)
			return
		}
		if version == known {
			// The peer takes nothing; it says why in its own log.
			return
		}
		known = version
	}
}

func (n *Node) pushOnce(ctx context.Context, m membership.Member, c *peerpb.Configuration) (uint64, error) {
	n.count(func(c *Counters) *uint64 { return &c.Pushes })
	timeout := n.settings.CallTimeout
	if c.Snapshot != nil {
		timeout = n.settings.TransferTimeout
	}
	var answer *peerpb.PushResponse
	err := n.call(ctx, m.Address, timeout, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		request := &peerpb.PushRequest{Envelope: n.seal(m.Name, maxProbeUpdates), Configuration: c}
		answer, err = client.Push(ctx, request, compression(c)...)
		return err
	})
	if err != nil {
		return 0, err
	}
	return answer.GetEnvelope().GetVersion(), n.openAnswer(m.Name, answer.GetEnvelope())
}

// passOn pushes on what was news here, in a fleet that the first push does not
// reach as a whole.
func (n *Node) passOn(from string) {
	n.mu.Lock()
	small := n.wholeFleetInView()
	n.mu.Unlock()
	if !small {
		n.pushToSome(from)
	}
}
