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

// Dump returns the client's state and counters for the dump.
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
