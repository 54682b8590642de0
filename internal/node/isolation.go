package node

import (
	"context"
	"time"

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

// storeProbe reads the newest configuration from the table. It is asked only while
// no peer answers: the others may then hold this VM dead and accept changes
// without it, which it has to learn from the table, and the circuit breaker alone
// would tell too late that the table is out as well.
type storeProbe struct {
	poll  func(context.Context) error
	asked time.Time
	ok    bool
}

func (p *storeProbe) reachable() bool {
	if time.Since(p.asked) < storeProbeEvery {
		return p.ok
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeProbeTimeout)
	defer cancel()
	err := p.poll(ctx)
	p.asked, p.ok = time.Now(), err == nil
	return p.ok
}

// freshness keeps the gate's proof that this VM has the configuration in force.
type freshness struct {
	reach reach
	gate  *router.Gate
	// catchUp reads the newest configuration that store or peers can give.
	catchUp func() bool
	// resumed is called when the gate opens again.
	resumed func()

	cutOffSince time.Time
}

// run checks until the context ends.
func (f *freshness) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(isolationCheck):
			f.check(time.Now())
		}
	}
}

// check closes the gate once this VM has been cut off from the store and all peers
// for the bound. After that, or after a pause of the whole VM, others may have
// accepted changes without it, so the gate opens only once it has caught up.
func (f *freshness) check(now time.Time) {
	f.noteReach(now)
	isolated := !f.cutOffSince.IsZero() && now.Sub(f.cutOffSince) >= isolationBound
	f.gate.SetIsolated(isolated)
	if isolated {
		return
	}
	if !f.gate.Stale() {
		f.gate.ConfirmConfig()
		return
	}
	if f.catchUp() {
		f.gate.ConfirmConfig()
		f.resumed()
	}
}

func (f *freshness) noteReach(now time.Time) {
	switch {
	case !f.reach.cutOff():
		f.cutOffSince = time.Time{}
	case f.cutOffSince.IsZero():
		f.cutOffSince = now
	}
}
