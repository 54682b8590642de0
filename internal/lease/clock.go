package lease

import "time"

// Reading is one reading of a VM's two clocks.
type Reading struct {
	Wall time.Time
	// Mono counts from an arbitrary moment; it may stand still while the VM is paused.
	Mono time.Duration
}

// Clock reads a VM's clocks.
type Clock interface {
	// Now returns the wall clock, and the monotonic clock from an arbitrary moment.
	Now() (wall time.Time, mono time.Duration)
}

func read(c Clock) Reading {
	wall, mono := c.Now()
	return Reading{Wall: wall, Mono: mono}
}

// longestSince is the elapsed time that a holder assumes. The monotonic clock
// misses a pause of the VM and the wall clock misses a step backwards; whichever
// shows more is the one that did not.
func (r Reading) longestSince(earlier Reading) time.Duration {
	return max(r.Mono-earlier.Mono, r.Wall.Sub(earlier.Wall))
}

// certainSince is the elapsed time that a contender assumes. The monotonic clock
// never runs ahead of real time, while the wall clock can be stepped forwards and
// would end another VM's lease early.
func (r Reading) certainSince(earlier Reading) time.Duration {
	return r.Mono - earlier.Mono
}
