package quarantine

import "time"

// Counts holds the number of requests that a Ledger suspects and quarantines, for metrics.
type Counts struct {
	// Suspected is the number of requests with at least one crash that are not quarantined.
	Suspected int
	// Quarantined is the number of requests that are refused.
	Quarantined int
}

// Counts returns how many requests are suspected and quarantined.
func (l *Ledger) Counts(now time.Time) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c Counts
	for _, r := range l.records {
		switch st := l.status(r, now); {
		case st.Quarantined:
			c.Quarantined++
		case st.Crashes > 0:
			c.Suspected++
		}
	}
	return c
}
