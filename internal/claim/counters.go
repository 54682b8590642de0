package claim

import "sync/atomic"

// counters holds the counters that State reports.
type counters struct {
	run      atomic.Uint64
	replayed atomic.Uint64
	refused  atomic.Uint64
	unknown  atomic.Uint64
	finished atomic.Uint64
	unended  atomic.Uint64
	swept    atomic.Uint64
}
