package pushback

import (
	"cmp"
	"slices"
	"time"

	"geraniumcroft/internal/incarnation"
)

// Entry is what is in force of one replica's word, for the dump and the log.
type Entry struct {
	Replica string `json:"replica"`
	// LimitPerSecond is what it takes from all VMs, nil without a limit.
	LimitPerSecond *float64 `json:"limitPerSecond,omitempty"`
	// Sender says that this VM may send OwnPerSecond of it; others leave the replica alone.
	Sender       bool    `json:"sender"`
	OwnPerSecond float64 `json:"ownPerSecond"`
	// Sent counts this VM's requests to it since the limit was first heard.
	Sent uint64 `json:"sent"`
	// BackOffSeconds is for how long yet the replica wants no requests from this VM, 0 if it does, and
	// BackOffSent counts those that were sent since it asked for it.
	BackOffSeconds float64 `json:"backOffSeconds,omitempty"`
	BackOffSent    uint64  `json:"backOffSent,omitempty"`
	// Leaving says that the replica has said that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// HeardSeconds is the age of its last word.
	HeardSeconds float64 `json:"heardSeconds"`
}

// Dump returns what is in force, by replica.
func (l *Ledger) Dump(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []Entry{}
	for key, s := range l.replicas {
		if !s.idle(now) {
			entries = append(entries, s.entry(key, now))
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Replica, b.Replica) })
	return entries
}

func (s *state) entry(key incarnation.Key, now time.Time) Entry {
	e := Entry{Replica: key.String(), Sender: s.part.sender, OwnPerSecond: s.part.rate, Sent: s.sent, Leaving: s.leaving, HeardSeconds: now.Sub(s.heard).Seconds()}
	if left := s.backOffLeft(now); left > 0 {
		e.BackOffSeconds, e.BackOffSent = left.Seconds(), s.backOffSent
	}
	if s.limit.Set {
		limit := s.limit.PerSecond
		e.LimitPerSecond = &limit
	}
	return e
}
