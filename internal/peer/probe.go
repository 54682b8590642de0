package peer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumcroft/internal/membership"
	"geraniumcroft/internal/peer/peerpb"
)

// indirectTimeoutFactor is the ratio of the timeout of an indirect probe to that of a direct one.
// The helper may have to try its pooled connection and then a new one.
const indirectTimeoutFactor = 3

// probeRound probes the next member in the rotation.
func (n *Node) probeRound() {
	n.mu.Lock()
	n.table.Tick(time.Now())
	m, ok := n.table.NextProbe()
	n.mu.Unlock()
	if ok {
		n.startVerification(m)
	}
}

// startVerification starts to verify a member that may have failed, unless that is already in
// progress or maxConcurrentProbes are running.
func (n *Node) startVerification(m membership.Member) {
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

// verify probes a member over the pooled connection, a new connection and helpers, in this order,
// and records a failed probe if all three fail.
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

// probe returns the envelope of the VM's answer, or nil if the VM did not answer.
func (n *Node) probe(ctx context.Context, name, address string) *peerpb.Envelope {
	var answer *peerpb.ProbeResponse
	err := n.call(ctx, address, n.settings.CallTimeout, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		answer, err = client.Probe(ctx, &peerpb.ProbeRequest{Envelope: n.newEnvelope(name, maxProbeUpdates)})
		return err
	})
	if err != nil || n.acceptAnswer(name, answer.GetEnvelope()) != nil {
		return nil
	}
	return answer.GetEnvelope()
}

// probeThroughHelpers reports whether a member has answered the probe of at least one helper.
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

// probeThrough asks one helper to probe a member and reports whether the member answered.
func (n *Node) probeThrough(ctx context.Context, helper, m membership.Member) bool {
	n.count(func(c *Counters) *uint64 { return &c.IndirectProbes })
	var answer *peerpb.ProbeForResponse
	timeout := indirectTimeoutFactor * n.settings.CallTimeout
	err := n.call(ctx, helper.Address, timeout, func(ctx context.Context, client peerpb.PeerClient) error {
		var err error
		answer, err = client.ProbeFor(ctx, &peerpb.ProbeForRequest{
			Envelope: n.newEnvelope(helper.Name, maxProbeUpdates), Vm: m.Name, Address: m.Address,
		})
		return err
	})
	if err != nil || n.acceptAnswer(helper.Name, answer.GetEnvelope()) != nil {
		return false
	}
	return answer.GetAnswer().GetVm() == m.Name && n.acceptEnvelope(answer.GetAnswer())
}
