package lease

import "time"

type systemClock struct {
	start time.Time
}

// NewSystemClock returns the clock of this process.
func NewSystemClock() Clock {
	return systemClock{start: time.Now()}
}

// Now implements Clock.
func (c systemClock) Now() Reading {
	now := time.Now()
	return Reading{Wall: now.Round(0), Mono: now.Sub(c.start)}
}
