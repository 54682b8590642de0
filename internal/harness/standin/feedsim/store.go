package feedsim

import (
	"maps"
	"slices"
	"sync"

	"geraniumcroft/internal/platform"
)

// rowChange is one change of a row.
type rowChange struct {
	table, key string
	value      []byte
	deleted    bool
	revision   uint64
}

// state is what a store holds.
type state struct {
	tables   map[string]map[string][]byte
	revision uint64
	history  []rowChange
}

func (s state) clone() state {
	tables := make(map[string]map[string][]byte, len(s.tables))
	for name, rows := range s.tables {
		tables[name] = maps.Clone(rows)
	}
	return state{tables: tables, revision: s.revision, history: slices.Clone(s.history)}
}

// Copy is what a store held at one moment.
type Copy struct{ state state }

// Store holds the tables. It is safe for concurrent use.
type Store struct {
	mu    sync.Mutex // guards the fields below
	state state
	era   uint64
	away  bool
	// changed is closed and replaced when a pending call has to look again.
	changed chan struct{}
	calls   int
	bytes   int
}

// NewStore returns an empty store in its first era.
func NewStore() *Store {
	return &Store{state: state{tables: map[string]map[string][]byte{}}, era: 1, changed: make(chan struct{})}
}

// Put writes a row.
func (s *Store) Put(table, key string, value []byte) {
	s.write(rowChange{table: table, key: key, value: value})
}

// Delete deletes a row.
func (s *Store) Delete(table, key string) {
	s.write(rowChange{table: table, key: key, deleted: true})
}

func (s *Store) write(c rowChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.revision++
	c.revision = s.state.revision
	if s.state.tables[c.table] == nil {
		s.state.tables[c.table] = map[string][]byte{}
	}
	if c.deleted {
		delete(s.state.tables[c.table], c.key)
	} else {
		s.state.tables[c.table][c.key] = c.value
	}
	s.state.history = append(s.state.history, c)
	s.wake()
}

// wake makes pending calls look again. s.mu is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Copy returns a copy of what the store holds now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{state: s.state.clone()}
}

// Restore replaces what the store holds by a copy and raises the era.
func (s *Store) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = from.state.clone()
	s.era++
	s.wake()
}

// SetAway makes the store fail all calls, pending ones included, until it is set to false.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// Version returns the store's present version.
func (s *Store) Version() platform.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Version{Era: s.era, Revision: s.state.revision}
}

// Calls returns the number of calls that the store has got, and the bytes of its answers' rows.
func (s *Store) Calls() (calls, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.bytes
}
