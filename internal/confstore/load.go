package confstore

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Load reads the newest snapshot and the tail of the history. A VM calls it at startup,
// before it accepts requests. It succeeds if the newest version is in force afterwards,
// even if the snapshot could not be read: the object store may be unavailable while the
// table still holds every change that this VM lacks.
func (s *Store) Load(ctx context.Context) error {
	snapshotErr := s.readSnapshot(ctx)
	if err := s.Poll(ctx); err != nil {
		return errors.CombineErrors(err, snapshotErr)
	}
	return nil
}

// Poll reads the head row and the changes that are missing on this VM. It returns a
// *HistoryLostError or a *ForkError if the table's history differs from the one in force.
func (s *Store) Poll(ctx context.Context) error {
	err := s.poll(ctx)
	s.polls.record(err)
	var fork *ForkError
	var lost *HistoryLostError
	if errors.As(err, &fork) || errors.As(err, &lost) {
		s.options.Logger.Error("the table's history is not the one in force here", zap.Error(err))
	}
	return err
}

// poll does the work of Poll.
func (s *Store) poll(ctx context.Context) error {
	before := s.Current().Version
	newest, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	// The version from before the read is compared, as peers may have pushed newer
	// changes since.
	if newest.Version < before {
		return &HistoryLostError{Have: before, Table: newest.Version}
	}
	if err := s.catchUp(ctx, newest.Version); err != nil {
		return errors.Wrapf(err, "catch up with version %d", newest.Version)
	}
	return s.checkHead(newest)
}

// checkHead returns a *ForkError if the head's change is not the one that was applied at
// its version.
func (s *Store) checkHead(newest head) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	have, ok := s.recent.at(newest.Version)
	if ok && have.ID != newest.ChangeID {
		return &ForkError{Version: newest.Version, HaveID: have.ID, GotID: newest.ChangeID}
	}
	return nil
}
