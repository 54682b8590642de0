package confstore

import (
	"sync"
	"sync/atomic"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

// Store holds the configuration that is in force on this VM and commits changes to the
// table. It is safe for concurrent use.
type Store struct {
	options  Options
	current  atomic.Pointer[config.Snapshot]
	notifier notifier
	pending  pendingChanges
	polls    pollRecord
	hooks    hooks

	mu     sync.Mutex // guards writes of current and the field below
	recent *history
}

// New returns a store with an empty configuration at version 0.
func New(o Options) *Store {
	o = o.withDefaults()
	s := &Store{options: o, recent: newHistory(o.RecentChanges, o.RecentBytes)}
	s.notifier.current = s.Current
	s.current.Store(config.NewSnapshot())
	return s
}

// Current implements config.Source. It returns the snapshot in force.
func (s *Store) Current() *config.Snapshot { return s.current.Load() }

// InForceVersion returns the newest version that is applied and was delivered to every
// subscriber. This is the version that a VM confirms to its peers.
func (s *Store) InForceVersion() uint64 { return s.notifier.inForce() }

// Subscribe calls f with the snapshot in force, unless that is the empty one, and with
// each newer snapshot. Calls are made one at a time and in the order of versions.
// Versions that are no longer the newest when f returns are skipped.
func (s *Store) Subscribe(f func(*config.Snapshot)) { s.notifier.add(f) }

// ChangesAfter returns up to limit changes after a version. It returns false if some of
// them are no longer in memory; the reader then needs the snapshot.
func (s *Store) ChangesAfter(version uint64, limit int) ([]config.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent.after(version, s.Current().Version, limit)
}

// publish puts a snapshot in force. The lock is held.
func (s *Store) publish(next *config.Snapshot) {
	before := s.Current().Version
	// An older version would restore a drained target or an old profile after an operator
	// received the confirmation that the change is in force.
	newer := s.options.Invariants.Check(next.Version > before, invariant.VersionNeverFalls,
		"snapshot %d over snapshot %d on %s", next.Version, before, s.options.VM)
	if newer {
		s.current.Store(next)
	}
}
