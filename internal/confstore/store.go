package confstore

import (
	"sync"
	"sync/atomic"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
)

// Store is this VM's view of the configuration and its way to change it. It is
// safe for concurrent use.
type Store struct {
	options  Options
	current  atomic.Pointer[config.Snapshot]
	notifier notifier
	pending  pendingChanges
	reads    readRecord
	hooks    hooks

	mu     sync.Mutex // guards publishing and the field below
	recent *history
}

// New returns a store with the empty configuration, at version 0.
func New(o Options) *Store {
	o = o.withDefaults()
	s := &Store{options: o, recent: newHistory(o.RecentChanges, o.RecentBytes)}
	s.notifier.current = s.Current
	s.current.Store(config.NewSnapshot())
	return s
}

// Current implements config.Source.
func (s *Store) Current() *config.Snapshot { return s.current.Load() }

// InForceVersion returns the newest version that is applied and that every
// subscriber has taken in; this is what a VM confirms to its peers.
func (s *Store) InForceVersion() uint64 { return s.notifier.inForce() }

// Subscribe calls f with the snapshot in force, unless that is the empty one, and
// after each application of changes. Calls come one at a time, in order of
// versions; versions that were overtaken while f ran are left out.
func (s *Store) Subscribe(f func(*config.Snapshot)) { s.notifier.add(f) }

// ChangesAfter returns up to limit changes that follow a version. It returns
// false when some of them are no longer kept: the reader then needs the snapshot.
func (s *Store) ChangesAfter(version uint64, limit int) ([]config.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent.after(version, s.Current().Version, limit)
}

// publish puts a snapshot in force. The lock is held.
func (s *Store) publish(next *config.Snapshot) {
	before := s.Current().Version
	// A version that falls would bring back a drained target or an old profile
	// after an operator was told that the change is in force.
	rises := s.options.Invariants.Check(next.Version > before, invariant.VersionNeverFalls,
		"snapshot %d over snapshot %d on %s", next.Version, before, s.options.VM)
	if rises {
		s.current.Store(next)
	}
}
