package pushback

import (
	"cmp"
	"slices"
	"time"

	"geraniumcroft/internal/incarnation"
)

// Entry is the flow control state of one replica in a dump and in the log.
type Entry struct {
	Replica string `json:"replica"`
	// LimitPerSecond is the number of requests per second that the replica accepts from all VMs
	// together, nil without a limit.
	LimitPerSecond *float64 `json:"limitPerSecond,omitempty"`
	// Sender reports whether this VM may use OwnPerSecond requests per second of the limit. A VM that
	// is no sender leaves the limit to other VMs.
	Sender       bool    `json:"sender"`
	OwnPerSecond float64 `json:"ownPerSecond"`
	// Sent counts the requests of this VM to the replica since the limit became known.
	Sent uint64 `json:"sent"`
	// BackOffSeconds is the remaining time for which the replica wants no requests from this VM, 0 if
	// it accepts them. BackOffSent counts the requests sent since the replica asked to back off.
	BackOffSeconds float64 `json:"backOffSeconds,omitempty"`
	BackOffSent    uint64  `json:"backOffSent,omitempty"`
	// Leaving reports whether the replica has announced that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// LastAnswerSeconds is the time since the last answer of the replica to this VM.
	LastAnswerSeconds float64 `json:"heardSeconds"`
}

// Dump returns the replicas with a signal in force, sorted by name.
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

// entry returns the dump entry for the state.
func (s *state) entry(key incarnation.Key, now time.Time) Entry {
	e := Entry{Replica: key.String(), Sender: s.quota.sender, OwnPerSecond: s.quota.rate, Sent: s.sent, Leaving: s.leaving, LastAnswerSeconds: now.Sub(s.lastAnswer).Seconds()}
	if left := s.backOffLeft(now); left > 0 {
		e.BackOffSeconds, e.BackOffSent = left.Seconds(), s.backOffSent
	}
	if s.limit.Set {
		limit := s.limit.PerSecond
		e.LimitPerSecond = &limit
	}
	return e
}
