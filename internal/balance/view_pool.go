package balance

import "sync/atomic"

// pool is the part of a pool that is in this VM's subset.
type pool struct {
	name     string
	members  []*target
	prefixes *prefixIndex
	// denied is when a request last found no slot, in nanoseconds.
	denied atomic.Int64
}
