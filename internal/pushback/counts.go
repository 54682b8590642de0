package pushback

import "time"

// Counts holds numbers of replicas, for metrics. A replica may count in several fields.
type Counts struct {
	// Limited replicas have a rate limit.
	Limited int
	// BackingOff replicas want no requests from this VM for now.
	BackingOff int
	// Leaving replicas have announced that they are leaving.
	Leaving int
}

// Counts returns the current numbers.
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
