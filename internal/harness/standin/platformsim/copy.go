package platformsim

import (
	"maps"
	"slices"

	"geraniumcroft/internal/platform"
)

// Copy is what the table held at one moment.
type Copy struct {
	revision uint64
	rows     map[string]platform.Row
	keys     []string
}

// Copy returns a copy of what the table holds now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, rows: maps.Clone(s.rows), keys: slices.Clone(s.keys)}
}

// Restore replaces what the table holds by a copy and raises the era. Revisions that were given out
// since the copy are given out again.
func (s *Store) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.rows, s.keys = from.revision, maps.Clone(from.rows), slices.Clone(from.keys)
	s.era++
}

// Era returns the number of times that the table came back from a copy.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
