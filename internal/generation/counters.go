package generation

import "sync/atomic"

type counters struct {
	running                             atomic.Int64
	committed, recoveries, preemptions  atomic.Uint64
	busyEpochs                          atomic.Uint64
	reconnects, staleEvents, duplicates atomic.Uint64
	cancelsFailed, cancelsSkipped       atomic.Uint64
}

func (c *counters) stats() Stats {
	return Stats{
		Running:        c.running.Load(),
		Committed:      c.committed.Load(),
		Recoveries:     c.recoveries.Load(),
		Preemptions:    c.preemptions.Load(),
		Busy:           c.busyEpochs.Load(),
		Reconnects:     c.reconnects.Load(),
		StaleEvents:    c.staleEvents.Load(),
		Duplicates:     c.duplicates.Load(),
		CancelsFailed:  c.cancelsFailed.Load(),
		CancelsSkipped: c.cancelsSkipped.Load(),
	}
}
