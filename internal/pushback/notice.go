package pushback

import (
	"time"

	"geraniumcroft/internal/incarnation"
)

// noticeFor is how long after a replica last confirmed that it has no limit this is sent to other VMs, so
// that they learn of the end of a limit.
const noticeFor = time.Minute

// maxNoticeAge bounds the age of a notice. A replica that never sent a valid limit has no time of one, and
// the time since the zero time overflows where ages are added.
const maxNoticeAge = 24 * time.Hour

// Notice is the signal of a replica, as VMs exchange it.
type Notice struct {
	Replica    incarnation.Key `json:"replica"`
	DataCentre string          `json:"dataCentre"`
	// PerSecond is the limit in requests per second, nil if the replica has none any more.
	PerSecond *float64 `json:"perSecond,omitempty"`
	// Leaving reports whether the replica has announced that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// AgeMS is the time since the replica last confirmed the limit or its absence, in milliseconds.
	AgeMS int64 `json:"ageMs"`
}

// limit returns the limit in the notice.
func (n Notice) limit() Limit {
	if n.PerSecond == nil {
		return Limit{}
	}
	return LimitOf(*n.PerSecond)
}

// Notices returns the notices to send to other VMs about the given replicas, or about all if none is
// given.
func (l *Ledger) Notices(now time.Time, of ...incarnation.Key) []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	var notices []Notice
	if len(of) == 0 {
		for key, s := range l.replicas {
			notices = s.addNotice(notices, key, now)
		}
		return notices
	}
	for _, key := range of {
		if s := l.replicas[key]; s != nil {
			notices = s.addNotice(notices, key, now)
		}
	}
	return notices
}

// addNotice appends the notice about a replica that is leaving, has a limit, or confirmed within noticeFor
// that it has none.
func (s *state) addNotice(notices []Notice, key incarnation.Key, now time.Time) []Notice {
	ended := !s.limit.Set && (s.limitAt.IsZero() || now.Sub(s.limitAt) > noticeFor)
	if ended && !s.leaving {
		return notices
	}
	n := Notice{Replica: key, DataCentre: s.dataCentre, Leaving: s.leaving, AgeMS: min(maxNoticeAge, now.Sub(s.limitAt)).Milliseconds()}
	if s.limit.Set {
		limit := s.limit.PerSecond
		n.PerSecond = &limit
	}
	return append(notices, n)
}

// Merge merges the notices of another VM, which are of the given age. A newer signal from the replica
// stays in force.
func (l *Ledger) Merge(notices []Notice, age time.Duration, now time.Time) {
	for _, n := range notices {
		noticeAge := time.Duration(min(n.AgeMS, maxNoticeAge.Milliseconds())) * time.Millisecond
		if l.merge(n, now.Add(-age-noticeAge), now) {
			l.onLeaving(n.Replica)
		}
	}
}

// merge merges a notice with the time of its signal, and reports whether it announces for the first
// time that the replica is leaving.
func (l *Ledger) merge(n Notice, limitAt, now time.Time) (startsLeaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[n.Replica]
	if s == nil {
		if n.PerSecond == nil && !n.Leaving {
			return false
		}
		s = l.add(n.Replica, n.DataCentre, now)
	}
	startsLeaving = n.Leaving && l.startsLeaving(n.Replica, s, "peer")
	if limitAt.After(s.limitAt) {
		s.limitAt = limitAt
		l.setLimit(n.Replica, s, n.limit(), now, "peer")
	}
	return startsLeaving
}

// RecentlyLimited returns the replicas with a limit whose last answer to this VM is not older than
// within.
func (l *Ledger) RecentlyLimited(within time.Duration, now time.Time) []incarnation.Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []incarnation.Key
	for key, s := range l.replicas {
		if s.limit.Set && now.Sub(s.lastAnswer) <= within {
			keys = append(keys, key)
		}
	}
	return keys
}
