package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Entry is the state of one suspected or quarantined request, or part of prompts, in a dump.
type Entry struct {
	Digest Digest `json:"digest"`
	// Part is the id of the part of prompts, empty for a request.
	Part            string   `json:"promptPart,omitempty"`
	Quarantined     bool     `json:"quarantined"`
	Crashes         int      `json:"ends"`
	CrashedReplicas []string `json:"replicas"`
	// Seen is the time since a caller last sent the request while it was quarantined, or since its
	// last crash if that is later.
	Seen string `json:"seen"`
	// Left is the remaining time of the quarantine if no caller sends the request again. It is empty
	// for requests that are not quarantined.
	Left string `json:"left,omitempty"`
}

// Dump returns the requests with crashes that still count, those with the most crashes first.
func (l *Ledger) Dump(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []Entry{}
	for d, r := range l.records {
		st := l.status(r, now)
		if st.Crashes == 0 {
			continue
		}
		e := Entry{Digest: d, Part: r.identity.Part, Quarantined: st.Quarantined, Crashes: st.Crashes, CrashedReplicas: r.replicas(), Seen: now.Sub(r.lastSeen).String()}
		if st.Quarantined {
			e.Left = st.Left.String()
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), strings.Compare(a.Digest.String(), b.Digest.String()))
	})
	return entries
}
