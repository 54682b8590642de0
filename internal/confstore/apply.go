package confstore

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
)

// ApplyChanges applies committed changes, received from peers or read from the table,
// and returns the version that is in force afterwards. It ignores changes that are
// already applied. It drops changes after a gap: their sender sends them again together
// with the missing ones.
func (s *Store) ApplyChanges(changes []config.Change) (applied uint64, err error) {
	err = s.applyAndPublish(changes)
	s.notifier.deliver()
	if err != nil {
		s.options.Logger.Error("configuration change not applied", zap.Error(err))
	}
	return s.Current().Version, err
}

// applyAndPublish applies the changes and puts the result in force. It does not call the
// subscribers.
func (s *Store) applyAndPublish(changes []config.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.Current()
	for _, change := range sortedByVersion(changes) {
		if change.Version > next.Version+1 {
			break
		}
		if err := s.checkFork(change); err != nil {
			return s.publishIfNewer(next, err)
		}
		if change.Version <= next.Version {
			continue
		}
		following, err := next.Apply(change)
		if err != nil {
			return s.publishIfNewer(next, err)
		}
		next = following
		s.recent.append(change)
	}
	return s.publishIfNewer(next, nil)
}

// publishIfNewer puts next in force unless it is in force already, and returns err. The
// lock is held.
func (s *Store) publishIfNewer(next *config.Snapshot, err error) error {
	if next != s.Current() {
		s.publish(next)
	}
	return err
}

// checkFork returns a *ForkError if another change was applied at the change's version.
// It returns nil if the applied change is no longer in memory. The lock is held.
func (s *Store) checkFork(change config.Change) error {
	have, ok := s.recent.at(change.Version)
	if ok && have.ID != change.ID {
		return &ForkError{Version: change.Version, HaveID: have.ID, GotID: change.ID}
	}
	return nil
}

// sortedByVersion returns the changes in ascending order of version. The argument is
// not modified.
func sortedByVersion(changes []config.Change) []config.Change {
	byVersion := func(a, b config.Change) int { return cmp.Compare(a.Version, b.Version) }
	if slices.IsSortedFunc(changes, byVersion) {
		return changes
	}
	sorted := slices.Clone(changes)
	slices.SortFunc(sorted, byVersion)
	return sorted
}

// InstallSnapshot puts a snapshot in force if it is newer than the current one, and
// reports whether it did. The snapshot must not be modified afterwards.
func (s *Store) InstallSnapshot(snapshot *config.Snapshot) bool {
	installed := s.installAndPublish(withTables(snapshot))
	s.notifier.deliver()
	return installed
}

// installAndPublish puts the snapshot in force if it is newer. It does not call the
// subscribers.
func (s *Store) installAndPublish(snapshot *config.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Version <= s.Current().Version {
		return false
	}
	s.recent.clear()
	s.publish(snapshot)
	return true
}

// withTables returns a copy of the snapshot in which nil maps are replaced by empty
// ones. A map is nil after decoding if it is null in the JSON, and Snapshot.Apply writes
// to copies of the maps.
func withTables(snapshot *config.Snapshot) *config.Snapshot {
	filled := *snapshot
	filled.Workspaces = orEmpty(filled.Workspaces)
	filled.Profiles = orEmpty(filled.Profiles)
	filled.Models = orEmpty(filled.Models)
	filled.Targets = orEmpty(filled.Targets)
	return &filled
}

// orEmpty returns the table, or an empty one if it is nil.
func orEmpty[T any](table map[string]*T) map[string]*T {
	if table == nil {
		return map[string]*T{}
	}
	return table
}
