package quarantine

import "time"

// Counts are a ledger's figures for metrics.
type Counts struct {
	// Suspected requests have fewer ends than Settings.CrashThreshold.
	Suspected   int
	Quarantined int
}

// Counts returns how many requests are suspected and quarantined.
func (l *Ledger) Counts(now time.Time) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c Counts
	for _, r := range l.records {
		switch v := l.verdict(r, now); {
		case v.Quarantined:
			c.Quarantined++
		case v.Crashes > 0:
			c.Suspected++
		}
	}
	return c
}
