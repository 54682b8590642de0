package balance

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of the balancer.
type Dump struct {
	Peers   int          `json:"peers"`
	Targets []TargetDump `json:"targets"`
}

// Dump returns the state of all targets, sorted by name. It does not wait for requests.
func (b *Balancer) Dump() any {
	dump := Dump{Peers: b.peers()}
	now := time.Now()
	for _, t := range b.view.Load().targets {
		dump.Targets = append(dump.Targets, t.dump(now))
	}
	slices.SortFunc(dump.Targets, func(a, b TargetDump) int { return cmp.Compare(a.Name, b.Name) })
	return dump
}

// dump returns the state of the target.
func (t *target) dump(now time.Time) TargetDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	reason := t.closed(now)
	dump := TargetDump{
		Name:     t.name,
		Pool:     PoolName(t.config.Load()),
		InFlight: int(t.inFlight.Load()),
		Eligible: reason == "",
		Reason:   reason,
		Others:   t.load.others(now, t.balancer.settings),
		Score:    t.score(),
		Trust:    t.load.trust(now, t.balancer.settings),
		Failures: t.health.failures,
		HalfOpen: t.health.halfOpen(now),
		Busy:     t.busy.active(now),

		PeersInFlight: t.load.peers,
		CacheTrust:    t.hintTrust(now, &t.balancer.settings),
	}
	if !t.load.received.IsZero() {
		dump.ReportAge = now.Sub(t.load.received)
	}
	for u := range t.limits {
		dump.Limits[u] = int(t.limits[u].Load())
	}
	return dump
}
