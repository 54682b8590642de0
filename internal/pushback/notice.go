package pushback

import (
	"time"

	"geraniumcroft/internal/incarnation"
)

// noticeFor is how long after a limit has ended other VMs are still told of it.
const noticeFor = time.Minute

// Notice is what a replica has said, as one VM tells it to another.
type Notice struct {
	Replica    incarnation.Key `json:"replica"`
	DataCentre string          `json:"dataCentre"`
	// PerSecond is the limit, nil if the replica has none any more.
	PerSecond *float64 `json:"perSecond,omitempty"`
	// Leaving says that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// AgeMS is the time since the replica said so.
	AgeMS int64 `json:"ageMs"`
}

func (n Notice) limit() Limit {
	if n.PerSecond == nil {
		return Limit{}
	}
	return LimitOf(*n.PerSecond)
}

// Notices returns what other VMs should know of replicas, of all if none is named.
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

func (s *state) addNotice(notices []Notice, key incarnation.Key, now time.Time) []Notice {
	ended := !s.limit.Set && (s.told.IsZero() || now.Sub(s.told) > noticeFor)
	if ended && !s.leaving {
		return notices
	}
	n := Notice{Replica: key, DataCentre: s.dataCentre, Leaving: s.leaving, AgeMS: now.Sub(s.told).Milliseconds()}
	if s.limit.Set {
		limit := s.limit.PerSecond
		n.PerSecond = &limit
	}
	return append(notices, n)
}

// Merge takes what another VM tells, of the given age. What the replica has said since stays.
func (l *Ledger) Merge(notices []Notice, age time.Duration, now time.Time) {
	for _, n := range notices {
		if l.learn(n, now.Add(-age-time.Duration(n.AgeMS)*time.Millisecond), now) {
			l.onLeaving(n.Replica)
		}
	}
}

// learn takes a notice of what a replica told at a moment, and reports whether it is new that the
// replica leaves.
func (l *Ledger) learn(n Notice, told, now time.Time) (leaves bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[n.Replica]
	if s == nil {
		if n.PerSecond == nil && !n.Leaving {
			return false
		}
		s = l.add(n.Replica, n.DataCentre, now)
	}
	leaves = n.Leaving && l.leaves(n.Replica, s, "peer")
	if told.After(s.told) {
		s.told = told
		l.limited(n.Replica, s, n.limit(), now, "peer")
	}
	return leaves
}

// RecentlyLimited returns the limited replicas that have answered this VM within a time.
func (l *Ledger) RecentlyLimited(within time.Duration, now time.Time) []incarnation.Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []incarnation.Key
	for key, s := range l.replicas {
		if s.limit.Set && now.Sub(s.heard) <= within {
			keys = append(keys, key)
		}
	}
	return keys
}
