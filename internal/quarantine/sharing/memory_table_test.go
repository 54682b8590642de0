package sharing

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/platform"
)

// memoryTable is a table that may be away.
type memoryTable struct {
	mu       sync.Mutex // guards the fields below
	rows     map[string]platform.Row
	revision uint64
	calls    int
	away     bool
	zero     time.Time
}

func newMemoryTable() *memoryTable {
	return &memoryTable{rows: map[string]platform.Row{}, zero: time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (m *memoryTable) setAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
}

// size returns how many rows there are, counted how many calls were made.
func (m *memoryTable) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows)
}

func (m *memoryTable) counted() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// call counts a call and returns its error. m.mu is held.
func (m *memoryTable) call() error {
	m.calls++
	if m.away {
		return platform.ErrUnavailable
	}
	return nil
}

// Commit implements platform.Table.
func (m *memoryTable) Commit(_ context.Context, txn platform.Txn) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.call(); err != nil {
		return err
	}
	for _, c := range txn.Conditions {
		if m.rows[c.Key].Revision != c.Revision {
			return &platform.RefusedError{}
		}
	}
	m.revision++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: m.revision}
	}
	return nil
}

// Get implements platform.Table.
func (m *memoryTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.call(); err != nil {
		return nil, err
	}
	var rows []platform.Row
	for _, key := range keys {
		row := m.rows[key]
		row.Key, row.ReadAt = key, time.Since(m.zero)
		rows = append(rows, row)
	}
	return rows, nil
}

// Scan implements platform.Table.
func (m *memoryTable) Scan(_ context.Context, from, to string, _ int) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.call(); err != nil {
		return nil, err
	}
	var rows []platform.Row
	for key, row := range m.rows {
		if key >= from && key < to {
			row.ReadAt = time.Since(m.zero)
			rows = append(rows, row)
		}
	}
	return rows, nil
}
