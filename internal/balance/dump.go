package balance

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the balancer's state.
type Dump struct {
	Peers   int          `json:"peers"`
	Targets []TargetDump `json:"targets"`
}

// TargetDump is the state of one target and why it is or is not eligible.
type TargetDump struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	InFlight int    `json:"inFlight"`
	// Limits are for bulk, normal and urgent.
	Limits   [3]int `json:"limits"`
	Eligible bool   `json:"eligible"`
	// Reason says why the target is not eligible.
	Reason    string        `json:"reason,omitempty"`
	Others    float64       `json:"othersEstimate"`
	Score     float64       `json:"score"`
	Trust     float64       `json:"reportTrust"`
	ReportAge time.Duration `json:"reportAgeNanoseconds,omitempty"`
	Failures  int           `json:"failures,omitempty"`
	HalfOpen  bool          `json:"halfOpen,omitempty"`
	// Busy says that the target answered busy and is left alone for a while.
	Busy bool `json:"busy,omitempty"`
	// PeersInFlight is what peers say, claims included; CacheTrust is the trust in
	// what is known of the target's cached prefixes.
	PeersInFlight int     `json:"peersInFlight,omitempty"`
	CacheTrust    float64 `json:"cacheTrust,omitempty"`
}

// Dump returns the state of all targets. It waits for no request.
func (b *Balancer) Dump() any {
	dump := Dump{Peers: b.peers()}
	now := time.Now()
	for _, t := range b.view.Load().targets {
		dump.Targets = append(dump.Targets, t.dump(now))
	}
	slices.SortFunc(dump.Targets, func(a, b TargetDump) int { return cmp.Compare(a.Name, b.Name) })
	return dump
}

func (t *target) dump(now time.Time) TargetDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	reason := t.closed(now)
	dump := TargetDump{
		Name:     t.name,
		Pool:     PoolOf(t.config.Load()),
		InFlight: int(t.inFlight.Load()),
		Eligible: reason == "",
		Reason:   reason,
		Others:   t.load.others(now, t.balancer.settings),
		Score:    t.score(),
		Trust:    t.load.trust(now, t.balancer.settings),
		Failures: t.health.failures,
		HalfOpen: t.health.halfOpen(now),
		Busy:     t.busy.holds(now),

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
