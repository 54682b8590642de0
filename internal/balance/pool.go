package balance

import "sync/atomic"

// pool contains those targets of a pool that are in this VM's subset.
type pool struct {
	name     string
	members  []*target
	prefixes *prefixIndex
	// lastDenied is when a request last found no slot, in Unix nanoseconds.
	lastDenied atomic.Int64
}
