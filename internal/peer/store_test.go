package peer

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"geraniumcroft/internal/config"
)

// memoryStore is a ConfigStore in memory.
type memoryStore struct {
	mu      sync.Mutex
	current *config.Snapshot
	changes []config.Change
	// inForceLimit, if above 0, bounds the version that counts as in force on this VM.
	inForceLimit uint64
}

func newMemoryStore() *memoryStore { return &memoryStore{current: config.NewSnapshot()} }

func (s *memoryStore) Current() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *memoryStore) InForceVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForceLimit > 0 {
		return min(s.inForceLimit, s.current.Version)
	}
	return s.current.Version
}

func (s *memoryStore) limitInForce(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inForceLimit = version
}

func (s *memoryStore) ApplyChanges(changes []config.Change) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		if change.Version <= s.current.Version {
			continue
		}
		next, err := s.current.Apply(change)
		if err != nil {
			return s.current.Version, err
		}
		s.current = next
		s.changes = append(s.changes, change)
	}
	return s.current.Version, nil
}

func (s *memoryStore) ChangesAfter(version uint64, limit int) ([]config.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.changes) == 0 || s.changes[0].Version > version+1 {
		return nil, false
	}
	after := s.changes[version+1-s.changes[0].Version:]
	return after[:min(limit, len(after))], true
}

func (s *memoryStore) InstallSnapshot(snapshot *config.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Version <= s.current.Version {
		return false
	}
	s.current, s.changes = snapshot, nil
	return true
}

// commit adds the next change, as the platform's table would, and returns it.
func (s *memoryStore) commit(name string) []config.Change {
	value, _ := json.Marshal(config.Workspace{Weight: 1})
	change := config.Change{
		Version: s.Current().Version + 1, ID: name, Author: "test", Time: time.Unix(0, 0),
		Kind: config.EntityWorkspace, Name: name, Value: value,
	}
	if _, err := s.ApplyChanges([]config.Change{change}); err != nil {
		panic(err)
	}
	return []config.Change{change}
}

func targetName(i int) string { return fmt.Sprintf("target-%04d", i) }

// fill installs a configuration with the given numbers of workspaces and targets.
func fill(s *memoryStore, workspaces, targets int) {
	snapshot := config.NewSnapshot()
	snapshot.Version = 1
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%04d", i)
		snapshot.Workspaces[name] = &config.Workspace{Name: name, Weight: 1}
	}
	for i := range targets {
		name := targetName(i)
		snapshot.Targets[name] = &config.Target{
			Name: name, Address: "10.0.0.1:9000", DataCentre: "hall-a", Kind: config.KindEngine,
			Model: "model-a", Version: "1", Slots: 8, State: config.StateActive,
		}
	}
	s.InstallSnapshot(snapshot)
}
