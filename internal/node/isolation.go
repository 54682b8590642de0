package node

import (
	"context"
	"time"

	"geraniumcroft/internal/router"
)

const (
	isolationCheckInterval = 250 * time.Millisecond
	// isolationTimeout is how long a VM must be cut off before it refuses requests. Peers count as
	// unreachable only after peer.DefaultReachableBound, 3 s. Together with this timeout and one
	// probe of the store that makes 4 s, while peers hold a silent VM dead after more than 5 s.
	// Until then a change waits for this VM's confirmation; afterwards this VM takes no requests,
	// so its confirmation is not needed.
	isolationTimeout = 500 * time.Millisecond
	// storeProbeInterval is the least time between two probes, because in a partition all VMs send
	// them.
	storeProbeInterval = time.Second
	storeProbeTimeout  = 500 * time.Millisecond
)

// connectivity reports what this VM can reach. A VM that has peers must reach the store or a peer
// to know the configuration in force.
type connectivity struct {
	storeReachable func() bool
	hasPeers       func() bool
	peerReachable  func() bool
}

// cutOff reports whether there are peers, but neither a peer nor the store can be reached.
func (c connectivity) cutOff() bool {
	return c.hasPeers() && !c.peerReachable() && !c.storeReachable()
}

// storeProbe tests whether the store is reachable by reading the newest configuration from the
// table. It is used only while no peer answers. The peers may then hold this VM dead and accept
// changes without it, which it has to read from the table. The circuit breaker alone would report
// too late that the table is unavailable as well.
type storeProbe struct {
	poll func(context.Context) error
	// probedAt is when the last probe ended, and ok its result.
	probedAt time.Time
	ok       bool
}

// reachable returns the result of the last probe, or of a new one if storeProbeInterval has passed.
func (p *storeProbe) reachable() bool {
	if time.Since(p.probedAt) < storeProbeInterval {
		return p.ok
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeProbeTimeout)
	defer cancel()
	err := p.poll(ctx)
	p.probedAt, p.ok = time.Now(), err == nil
	return p.ok
}

// isolationMonitor keeps confirming to the gate that this VM has the configuration in force, and
// closes the gate while that is not known.
type isolationMonitor struct {
	connectivity connectivity
	gate         *router.Gate
	// catchUp reads the newest configuration from the store and peers, and reports whether one of
	// them answered.
	catchUp func() bool
	// onResume is called when the gate opens again.
	onResume func()

	// cutOffSince is the zero time while this VM is not cut off.
	cutOffSince time.Time
}

// run calls check periodically until ctx ends.
func (m *isolationMonitor) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(isolationCheckInterval):
			m.check(time.Now())
		}
	}
}

// check closes the gate once this VM has been cut off from the store and all peers for
// isolationTimeout. After that, or after the whole VM was paused, other VMs may have accepted
// changes without it, so the gate opens only once this VM has caught up.
func (m *isolationMonitor) check(now time.Time) {
	m.updateCutOffSince(now)
	isolated := !m.cutOffSince.IsZero() && now.Sub(m.cutOffSince) >= isolationTimeout
	m.gate.SetIsolated(isolated)
	if isolated {
		return
	}
	if !m.gate.Stale() {
		m.gate.ConfirmConfig()
		return
	}
	if m.catchUp() {
		m.gate.ConfirmConfig()
		m.onResume()
	}
}

func (m *isolationMonitor) updateCutOffSince(now time.Time) {
	switch {
	case !m.connectivity.cutOff():
		m.cutOffSince = time.Time{}
	case m.cutOffSince.IsZero():
		m.cutOffSince = now
	}
}
