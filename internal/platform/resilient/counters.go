package resilient

import "sync/atomic"

type counters struct {
	commits    atomic.Uint64
	refused    atomic.Uint64
	ambiguous  atomic.Uint64
	resent     atomic.Uint64
	resolved   atomic.Uint64
	unresolved atomic.Uint64
	reads      atomic.Uint64
	throttled  atomic.Uint64
	fastFailed atomic.Uint64
	probes     atomic.Uint64
}

// State is what the dump shows of a Client.
type State struct {
	Table   string `json:"table"`
	Objects string `json:"objects"`
	VMList  string `json:"vmList"`
	// Commits and Reads are those sent to the table, repeated ones included.
	Commits uint64 `json:"commits"`
	Reads   uint64 `json:"reads"`
	Refused uint64 `json:"refused"`
	// Ambiguous counts lost answers, Resent the commits sent again for them,
	// Resolved and Unresolved how those ended.
	Ambiguous  uint64 `json:"ambiguous"`
	Resent     uint64 `json:"resent"`
	Resolved   uint64 `json:"resolved"`
	Unresolved uint64 `json:"unresolved"`
	// Throttled counts operations that the rate budget refused.
	Throttled uint64 `json:"throttled"`
	// FastFailed counts operations refused at once while a service was down.
	FastFailed uint64 `json:"fastFailed"`
	Probes     uint64 `json:"probes"`
}

// Dump returns the client's state.
func (c *Client) Dump() State {
	return State{
		Table:      c.table.breaker.State().String(),
		Objects:    c.objects.breaker.State().String(),
		VMList:     c.vmList.breaker.State().String(),
		Commits:    c.counters.commits.Load(),
		Reads:      c.counters.reads.Load(),
		Refused:    c.counters.refused.Load(),
		Ambiguous:  c.counters.ambiguous.Load(),
		Resent:     c.counters.resent.Load(),
		Resolved:   c.counters.resolved.Load(),
		Unresolved: c.counters.unresolved.Load(),
		Throttled:  c.counters.throttled.Load(),
		FastFailed: c.counters.fastFailed.Load(),
		Probes:     c.counters.probes.Load(),
	}
}
