package confstore

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Load reads the newest snapshot and the tail of the history. A VM that starts
// calls it before it takes requests.
func (s *Store) Load(ctx context.Context) error {
	if err := s.readSnapshot(ctx); err != nil {
		return err
	}
	return s.Poll(ctx)
}

// Poll reads the head and, when it has moved, what is missing here.
func (s *Store) Poll(ctx context.Context) error {
	before := s.Current().Version
	newest, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	// The version before the read counts: peers may have pushed newer ones since.
	if newest.Version < before {
		return &HistoryLostError{Have: before, Table: newest.Version}
	}
	if err := s.catchUp(ctx, newest.Version); err != nil {
		return errors.Wrapf(err, "catch up with version %d", newest.Version)
	}
	return s.checkHead(newest)
}

// checkHead compares the head's change with the one that was applied.
func (s *Store) checkHead(newest head) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	have, ok := s.recent.at(newest.Version)
	if ok && have.ID != newest.ChangeID {
		return &ForkError{Version: newest.Version, HaveID: have.ID, GotID: newest.ChangeID}
	}
	return nil
}
