package confstore

import (
	"slices"
	"time"
)

// Dump is the store's state on request. It holds no value of an entity.
type Dump struct {
	Version uint64 `json:"version"`
	// InForce is the newest version that every subscriber has taken in.
	InForce uint64 `json:"inForce"`
	// RecentFrom is the oldest change that is kept for peers, 0 when there is none.
	RecentFrom    uint64 `json:"recentFrom"`
	RecentChanges int    `json:"recentChanges"`
	RecentBytes   int    `json:"recentBytes"`
	// Pending are ids of changes that were sent from this VM and not seen since.
	Pending []string `json:"pending,omitempty"`
	// LastRead is when the table was last read to its head; zero for never.
	LastRead  time.Time `json:"lastRead"`
	ReadError string    `json:"readError,omitempty"`
}

// Dump returns the store's state.
func (s *Store) Dump() any {
	dump := Dump{Version: s.Current().Version, InForce: s.InForceVersion()}
	for _, id := range s.pending.ids() {
		if _, written := s.recentWithID(id); !written {
			dump.Pending = append(dump.Pending, id)
		}
	}
	var err error
	if dump.LastRead, err = s.reads.get(); err != nil {
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

func (p *pendingChanges) ids() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.order)
}
