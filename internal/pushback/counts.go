package pushback

import "time"

// Counts says how many replicas have something in force.
type Counts struct {
	// Limited have a rate limit, BackingOff want no requests from this VM for now, Leaving leave.
	Limited    int
	BackingOff int
	Leaving    int
}

// Counts returns how many replicas have something in force.
func (l *Ledger) Counts(now time.Time) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c Counts
	for _, s := range l.replicas {
		if s.limit.Set {
			c.Limited++
		}
		if s.leaving {
			c.Leaving++
		}
		if s.backOffLeft(now) > 0 {
			c.BackingOff++
		}
	}
	return c
}
