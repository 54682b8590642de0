package confstore

import (
	"slices"
	"time"
)

// Dump is the state of a store in the dump. It contains no values of entities.
type Dump struct {
	Version uint64 `json:"version"`
	// InForce is the newest version that was delivered to every subscriber.
	InForce uint64 `json:"inForce"`
	// RecentFrom is the version of the oldest change in memory, 0 if there is none.
	RecentFrom uint64 `json:"recentFrom"`
	// RecentChanges and RecentBytes are the number of changes in memory and their size.
	RecentChanges int `json:"recentChanges"`
	RecentBytes   int `json:"recentBytes"`
	// Pending lists the ids of changes proposed on this VM whose transaction could not
	// be resolved and that have not been seen since.
	Pending []string `json:"pending,omitempty"`
	// LastRead is the time of the last successful poll, the zero time if there was none.
	LastRead time.Time `json:"lastRead"`
	// ReadError is the error of the last poll, empty if it succeeded.
	ReadError string `json:"readError,omitempty"`
}

// Dump returns the store's state, a Dump.
func (s *Store) Dump() any {
	dump := Dump{Version: s.Current().Version, InForce: s.InForceVersion()}
	for _, id := range s.pending.ids() {
		if _, written := s.recentWithID(id); !written {
			dump.Pending = append(dump.Pending, id)
		}
	}
	var err error
	if dump.LastRead, err = s.polls.get(); err != nil {
		dump.ReadError = err.Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	dump.RecentChanges, dump.RecentBytes = len(s.recent.changes), s.recent.bytes
	if dump.RecentChanges > 0 {
		dump.RecentFrom = s.recent.changes[0].Version
	}
	return dump
}

// ids returns the ids of the changes, in the order in which they were added.
func (p *pendingChanges) ids() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.order)
}
