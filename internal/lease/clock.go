package lease

import "time"

// Reading is one reading of a VM's two clocks.
type Reading struct {
	Wall time.Time
	// Mono is the time since an arbitrary moment; it may not advance while the VM is paused.
	Mono time.Duration
}

// Clock reads a VM's clocks.
type Clock interface {
	// Now returns the wall clock, and the time on the monotonic clock since an arbitrary moment.
	Now() (wall time.Time, mono time.Duration)
}

func readClock(c Clock) Reading {
	wall, mono := c.Now()
	return Reading{Wall: wall, Mono: mono}
}

// maxElapsedSince returns the elapsed time that a holder assumes. The monotonic clock may miss a
// pause of the VM, and the wall clock may have stepped backwards; the clock that shows more was
// not affected.
func (r Reading) maxElapsedSince(earlier Reading) time.Duration {
	return max(r.Mono-earlier.Mono, r.Wall.Sub(earlier.Wall))
}

// minElapsedSince returns the elapsed time that a contender assumes. The monotonic clock never
// runs ahead of real time, whereas a wall clock that steps forwards would end another VM's lease
// early.
func (r Reading) minElapsedSince(earlier Reading) time.Duration {
	return r.Mono - earlier.Mono
}
