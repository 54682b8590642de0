package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Entry is what is known of one request, for the dump.
type Entry struct {
	Digest          Digest   `json:"digest"`
	Quarantined     bool     `json:"quarantined"`
	Crashes         int      `json:"ends"`
	CrashedReplicas []string `json:"replicas"`
	// Seen is the time since the request was last asked for while it was quarantined, or since
	// its last end.
	Seen string `json:"seen"`
	// Left is for how long the request is refused if nobody asks for it again, "" if it is not.
	Left string `json:"left,omitempty"`
}

// Dump returns the requests against which anything is held, those that are quarantined first.
func (l *Ledger) Dump(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []Entry{}
	for d, r := range l.records {
		v := l.verdict(r, now)
		if v.Crashes == 0 {
			continue
		}
		e := Entry{Digest: d, Quarantined: v.Quarantined, Crashes: v.Crashes, CrashedReplicas: r.replicas(), Seen: now.Sub(r.seen).String()}
		if v.Quarantined {
			e.Left = v.Left.String()
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), strings.Compare(a.Digest.String(), b.Digest.String()))
	})
	return entries
}
