package confstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
)

// maxLookupPages bounds a search of the table: more rows than compaction keeps.
const maxLookupPages = 32

// Lookup finds a change by its id. It returns a *NotWrittenError when the change
// was pending here and can no longer be written, a *PendingError when it still
// may be, and an *UnknownChangeError when the history that is kept lacks the id.
func (s *Store) Lookup(ctx context.Context, id string) (config.Change, error) {
	if known, ok := s.recentWithID(id); ok {
		return known, nil
	}
	if a, ok := s.pending.get(id); ok {
		return s.lookupPending(ctx, id, a)
	}
	return s.findInTable(ctx, id)
}

func (s *Store) lookupPending(ctx context.Context, id string, a attempt) (config.Change, error) {
	change, became, err := s.fateOf(ctx, id, a)
	if err != nil {
		return config.Change{}, &PendingError{ID: id, Version: a.version, Cause: err}
	}
	switch became {
	case fateWritten:
		return change, nil
	case fateLost:
		return config.Change{}, &NotWrittenError{ID: id, Cause: errRaced}
	}
	return config.Change{}, &PendingError{ID: id, Version: a.version, Cause: errNotYet}
}

func (s *Store) recentWithID(id string) (config.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent.withID(id)
}

// remembersAfter reports whether every change after a version is in memory.
func (s *Store) remembersAfter(version uint64) bool {
	_, ok := s.ChangesAfter(version, 0)
	return ok
}

// findInTable searches the rows that are kept, from the oldest on.
func (s *Store) findInTable(ctx context.Context, id string) (config.Change, error) {
	from := changeKey(0)
	for range maxLookupPages {
		rows, err := s.options.Table.Scan(ctx, from, changesEnd, scanPage)
		if err != nil {
			return config.Change{}, errors.Wrap(err, "search the history")
		}
		changes, err := decodeChanges(rows)
		if err != nil {
			return config.Change{}, err
		}
		for _, change := range changes {
			if change.ID == id {
				return change, nil
			}
		}
		if len(rows) < scanPage {
			break
		}
		from = changeKey(changes[len(changes)-1].Version + 1)
	}
	return config.Change{}, &UnknownChangeError{ID: id}
}
