package confstore

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Load reads the newest snapshot and the tail of the history. A VM that starts
// calls it before it takes requests. The object store may be out while the table
// still has every change that this VM lacks, so only the outcome counts.
func (s *Store) Load(ctx context.Context) error {
	snapshotErr := s.readSnapshot(ctx)
	if err := s.Poll(ctx); err != nil {
		return errors.CombineErrors(err, snapshotErr)
	}
	return nil
}

// Poll reads the head and, when it has moved, what is missing here.
func (s *Store) Poll(ctx context.Context) error {
	err := s.poll(ctx)
	s.reads.note(err)
	var fork *ForkError
	var lost *HistoryLostError
	if errors.As(err, &fork) || errors.As(err, &lost) {
		s.options.Logger.Error("the table's history is not the one in force here", zap.Error(err))
	}
	return err
}

func (s *Store) poll(ctx context.Context) error {
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
