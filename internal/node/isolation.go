package node

import (
	"context"
	"time"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/router"
)

const (
	isolationCheck = 250 * time.Millisecond
	// isolationBound is how long a VM is cut off before it refuses. Peers count as
	// unreachable only after peer.DefaultReachableBound, 3 s; with this and one
	// probe of the store it is 4 s, and peers hold a silent VM dead after more than
	// 5 s. Until then a change waits for this VM's confirmation; after it this VM
	// takes no requests, so nobody needs the confirmation.
	isolationBound = 500 * time.Millisecond
	// storeProbeEvery spaces the probes, for in a partition all VMs send them.
	storeProbeEvery   = time.Second
	storeProbeTimeout = 500 * time.Millisecond
	storeProbeKey     = "probe"
)

// reach is what a VM must reach one of to know the configuration in force.
type reach struct {
	storeReachable func() bool
	hasPeers       func() bool
	peerReachable  func() bool
}

func (r reach) cutOff() bool {
	return r.hasPeers() && !r.peerReachable() && !r.storeReachable()
}

// storeProbe asks the table whether it answers. It is asked only while no peer
// does: the circuit breaker alone would learn too late on a VM that seldom uses
// the store.
type storeProbe struct {
	table platform.Table
	asked time.Time
	ok    bool
}

func (p *storeProbe) reachable() bool {
	if time.Since(p.asked) < storeProbeEvery {
		return p.ok
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeProbeTimeout)
	defer cancel()
	_, err := p.table.Get(platform.WithLane(ctx, platform.LaneUrgent), storeProbeKey)
	p.asked, p.ok = time.Now(), err == nil
	return p.ok
}

// watchIsolation closes the gate once this VM has been cut off from the store and
// all peers for the bound, and opens it when either is back.
func watchIsolation(ctx context.Context, r reach, gate *router.Gate) {
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(isolationCheck):
			if !r.cutOff() {
				since = time.Time{}
			} else if since.IsZero() {
				since = now
			}
			gate.SetIsolated(!since.IsZero() && now.Sub(since) >= isolationBound)
		}
	}
}
