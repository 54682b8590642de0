package confstore

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"geraniumcroft/internal/config"
)

// ApplyChanges applies changes that are known to be committed, from peers or the
// table, and returns the version that is in force then. Changes that are old are
// ignored, those that do not join on without a gap are dropped: whoever sent them
// sends them again with what is missing.
func (s *Store) ApplyChanges(changes []config.Change) (applied uint64, err error) {
	err = s.applyLocked(changes)
	s.notifier.deliver()
	if err != nil {
		s.options.Logger.Error("configuration change not applied", zap.Error(err))
	}
	return s.Current().Version, err
}

func (s *Store) applyLocked(changes []config.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.Current()
	for _, change := range inOrder(changes) {
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

func (s *Store) publishIfNewer(next *config.Snapshot, err error) error {
	if next != s.Current() {
		s.publish(next)
	}
	return err
}

// checkFork compares an old change with the one that was applied at its version.
func (s *Store) checkFork(change config.Change) error {
	have, ok := s.recent.at(change.Version)
	if ok && have.ID != change.ID {
		return &ForkError{Version: change.Version, HaveID: have.ID, GotID: change.ID}
	}
	return nil
}

func inOrder(changes []config.Change) []config.Change {
	byVersion := func(a, b config.Change) int { return cmp.Compare(a.Version, b.Version) }
	if slices.IsSortedFunc(changes, byVersion) {
		return changes
	}
	sorted := slices.Clone(changes)
	slices.SortFunc(sorted, byVersion)
	return sorted
}

// InstallSnapshot puts a whole snapshot in force if it is newer, and reports
// whether it was. The snapshot must not be modified afterwards.
func (s *Store) InstallSnapshot(snapshot *config.Snapshot) bool {
	installed := s.installLocked(withTables(snapshot))
	s.notifier.deliver()
	return installed
}

func (s *Store) installLocked(snapshot *config.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Version <= s.Current().Version {
		return false
	}
	s.recent.clear()
	s.publish(snapshot)
	return true
}

// withTables replaces tables that are null in JSON, as Apply writes to copies of them.
func withTables(snapshot *config.Snapshot) *config.Snapshot {
	filled := *snapshot
	filled.Workspaces = orEmpty(filled.Workspaces)
	filled.Profiles = orEmpty(filled.Profiles)
	filled.Models = orEmpty(filled.Models)
	filled.Targets = orEmpty(filled.Targets)
	return &filled
}

func orEmpty[T any](table map[string]*T) map[string]*T {
	if table == nil {
		return map[string]*T{}
	}
	return table
}
