package confstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
)

// Lookup returns the change with the id. It returns a *NotWrittenError if the change was
// pending on this VM and can no longer be written, a *PendingError if it may still be
// written or that can't be determined, and an *UnknownChangeError if the retained history
// does not contain the id.
func (s *Store) Lookup(ctx context.Context, id string) (config.Change, error) {
	if known, ok := s.recentWithID(id); ok {
		return known, nil
	}
	if a, ok := s.pending.get(id); ok {
		return s.lookupPending(ctx, id, a)
	}
	return s.findInTable(ctx, id)
}

// lookupPending resolves a change that is pending on this VM.
func (s *Store) lookupPending(ctx context.Context, id string, a attempt) (config.Change, error) {
	change, state, err := s.stateOf(ctx, id, a)
	if err != nil {
		return config.Change{}, &PendingError{ID: id, Version: a.version, Cause: err}
	}
	switch state {
	case attemptWritten:
		return change, nil
	case attemptSuperseded:
		return config.Change{}, &NotWrittenError{ID: id, Cause: errLostRace}
	}
	return config.Change{}, &PendingError{ID: id, Version: a.version, Cause: errUnresolved}
}

// recentWithID returns the change with the id if it is in memory.
func (s *Store) recentWithID(id string) (config.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recent.withID(id)
}

// keepsChangesAfter reports whether all changes after the version are in memory.
func (s *Store) keepsChangesAfter(version uint64) bool {
	_, ok := s.ChangesAfter(version, 0)
	return ok
}

// findInTable searches all rows of the table for the change with the id, starting with
// the oldest row. It returns an *UnknownChangeError if there is none. Only the context bounds
// the search: a change that was not looked for everywhere is not unknown.
func (s *Store) findInTable(ctx context.Context, id string) (config.Change, error) {
	from := changeKey(0)
	for {
		rows, err := s.options.Table.Scan(ctx, from, changesEnd, scanPageSize)
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
		if len(rows) < scanPageSize {
			return config.Change{}, &UnknownChangeError{ID: id}
		}
		from = changeKey(changes[len(changes)-1].Version + 1)
	}
}
