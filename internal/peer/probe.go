package peer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// indirectFactor is how much longer a helper's answer may take: the helper may
// have to try its kept connection and then a new one.
const indirectFactor = 3

// probeRound probes the member whose turn it is.
func (n *Node) probeRound() {
	n.mu.Lock()
	n.table.Tick(time.Now())
	m, ok := n.table.NextProbe()
	n.mu.Unlock()
	if ok {
		n.suspect(m)
	}
}

// suspect probes a member that may have failed, unless that is under way.
func (n *Node) suspect(m membership.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.probing[m.Name] || len(n.probing) >= maxConcurrentProbes {
		return
	}
	n.probing[m.Name] = true
	started := n.spawnLocked(func(ctx context.Context) {
		n.verify(ctx, m)
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.probing, m.Name)
	})
	if !started {
		delete(n.probing, m.Name)
	}
}

// verify probes a member over the kept connection, a new connection and helpers,
// in this order, and records the failure of all three.
func (n *Node) verify(ctx context.Context, m membership.Member) {
	n.count(func(c *Counters) *uint64 { return &c.Probes })
	if n.probe(ctx, m.Name, m.Address) != nil {
		return
	}
	if ctx.Err() != nil || n.probeThroughHelpers(ctx, m) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return
	}
	n.counters.Suspicions++
	n.table.ProbeFailed(m.Name, m.Incarnation, time.Now())
}

// probe returns the VM's answer, or nil.
func (n *Node) probe(ctx context.Context, name, address string) *peerpb.Envelope {
	var answer *peerpb.ProbeResponse
	err := n.call(ctx, address, n.settings.CallTimeout, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		answer, err = client.Probe(ctx, &peerpb.ProbeRequest{Envelope: n.seal(name, maxProbeUpdates)})
		return err
	})
	if err != nil || n.openAnswer(name, answer.GetEnvelope()) != nil {
		return nil
	}
	return answer.GetEnvelope()
}

func (n *Node) probeThroughHelpers(ctx context.Context, m membership.Member) bool {
	n.mu.Lock()
	helpers := n.table.Helpers(m.Name, n.settings.IndirectProbes)
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan struct{}, len(helpers))
	var group errgroup.Group
	for _, helper := range helpers {
		group.Go(func() error {
			if n.probeThrough(ctx, helper, m) {
				answered <- struct{}{}
				cancel() // one answer is enough
			}
			return nil
		})
	}
	_ = group.Wait()
	return len(answered) > 0
}

func (n *Node) probeThrough(ctx context.Context, helper, m membership.Member) bool {
	n.count(func(c *Counters) *uint64 { return &c.IndirectProbes })
	var answer *peerpb.ProbeForResponse
	timeout := indirectFactor * n.settings.CallTimeout
	err := n.call(ctx, helper.Address, timeout, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		answer, err = client.ProbeFor(ctx, &peerpb.ProbeForRequest{
			Envelope: n.seal(helper.Name, maxProbeUpdates), Vm: m.Name, Address: m.Address,
		})
		return err
	})
	if err != nil || n.openAnswer(helper.Name, answer.GetEnvelope()) != nil {
		return false
	}
	return answer.GetAnswer().GetVm() == m.Name && n.open(answer.GetAnswer())
}
