package lease

import "time"

type systemClock struct {
	start time.Time
}

// NewSystemClock returns a Clock that reads the clocks of this process.
func NewSystemClock() Clock {
	return systemClock{start: time.Now()}
}

// Now implements Clock.
func (c systemClock) Now() (wall time.Time, mono time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(c.start)
}
