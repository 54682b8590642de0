package quarantine

import "time"

// Counts holds the number of requests, or of parts of prompts, that a Ledger suspects and quarantines, for
// metrics.
type Counts struct {
	// Suspected is the number of those with at least one crash that are not quarantined.
	Suspected int
	// Quarantined is the number of those that are refused.
	Quarantined int
}

// Counts returns how many requests and how many parts of prompts are suspected and quarantined.
func (l *Ledger) Counts(now time.Time) (requests, parts Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		c := &requests
		if r.identity.Part != "" {
			c = &parts
		}
		switch st := l.status(r, now); {
		case st.Quarantined:
			c.Quarantined++
		case st.Crashes > 0:
			c.Suspected++
		}
	}
	return requests, parts
}
