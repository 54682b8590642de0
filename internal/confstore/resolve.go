package confstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

// attemptState says whether the transaction of an attempt was applied.
type attemptState uint8

const (
	// attemptOpen: the transaction was not applied so far, but a delayed copy may still be.
	attemptOpen attemptState = iota
	// attemptWritten: the change is in the table.
	attemptWritten
	// attemptSuperseded: another change has the version, so the transaction was not
	// applied and never can be.
	attemptSuperseded
	// attemptUnknown: compaction has dropped the row, so the result can't be determined.
	attemptUnknown
)

// errUnresolved is the error of an attempt whose result is still unknown.
var errUnresolved = errors.New("the result of the transaction is unknown")

// resolve reads the result of the unresolved attempt. While the transaction can still be
// applied, it sends the same transaction again. Both copies require the same revision of
// the head row, so at most one of them is applied.
func (p *proposer) resolve(ctx context.Context) (config.Change, error) {
	a := *p.unresolved
	change, state, err := p.store.stateOf(ctx, p.proposal.ID, a)
	if err != nil {
		return config.Change{}, err
	}
	switch state {
	case attemptWritten:
		_, _ = p.store.ApplyChanges([]config.Change{change})
		return p.matchKnown(change)
	case attemptSuperseded:
		p.unresolved = nil
		return config.Change{}, errLostRace
	case attemptOpen:
		return p.resend(ctx, a)
	}
	return config.Change{}, errUnresolved
}

// resend sends another copy of the attempt's transaction.
func (p *proposer) resend(ctx context.Context, a attempt) (config.Change, error) {
	change, err := a.change()
	if err != nil {
		return config.Change{}, err
	}
	return p.send(ctx, a, change)
}

// stateOf returns the state of the attempt of the change with the id, and the change if
// it was written. It reads the attempt's row and the head row in one consistent read.
func (s *Store) stateOf(ctx context.Context, id string, a attempt) (config.Change, attemptState, error) {
	if known, ok := s.recentWithID(id); ok {
		return known, attemptWritten, nil
	}
	rows, err := s.options.Table.Get(ctx, changeKey(a.version), headKey)
	if err != nil {
		return config.Change{}, attemptOpen, errors.Wrap(err, "read the change back")
	}
	row, err := rowOf(rows, changeKey(a.version))
	if err != nil {
		return config.Change{}, attemptOpen, err
	}
	newest, err := rowOf(rows, headKey)
	if err != nil {
		return config.Change{}, attemptOpen, err
	}
	if row.Revision == 0 {
		if newest.Revision == a.headRevision {
			return config.Change{}, attemptOpen, nil
		}
		return config.Change{}, attemptUnknown, nil
	}
	change, err := decodeChange(row)
	if err != nil {
		return config.Change{}, attemptOpen, err
	}
	if change.ID == id {
		return change, attemptWritten, nil
	}
	return config.Change{}, attemptSuperseded, nil
}

// change decodes the change that the attempt writes.
func (a attempt) change() (config.Change, error) {
	key := changeKey(a.version)
	for _, write := range a.txn.Writes {
		if write.Key == key {
			return decodeChange(platform.Row{Key: write.Key, Value: write.Value})
		}
	}
	return config.Change{}, errors.Newf("the attempt does not write %s", key)
}
