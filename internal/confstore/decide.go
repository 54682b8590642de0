package confstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

// fate is what has become of an attempt.
type fate uint8

const (
	// fateOpen: not applied so far, but a delayed copy may still apply.
	fateOpen fate = iota
	// fateWritten: the change stands in the table.
	fateWritten
	// fateLost: it did not apply and never can.
	fateLost
	// fateUnknown: the row is gone by compaction, so nobody can tell any more.
	fateUnknown
)

// errNotYet marks an attempt that is still undecided.
var errNotYet = errors.New("the change's row could not be settled")

// decide reads back what has become of the undecided attempt and, while it can
// still apply, sends the same transaction again. The two copies demand the same
// revision of the head, so at most one of them applies.
func (w *writer) decide(ctx context.Context) (config.Change, error) {
	a := *w.undecided
	change, became, err := w.store.fateOf(ctx, w.proposal.ID, a)
	if err != nil {
		return config.Change{}, err
	}
	switch became {
	case fateWritten:
		_, _ = w.store.ApplyChanges([]config.Change{change})
		return w.same(change)
	case fateLost:
		w.undecided = nil
		return config.Change{}, errRaced
	case fateOpen:
		return w.sendAgain(ctx, a)
	}
	return config.Change{}, errNotYet
}

func (w *writer) sendAgain(ctx context.Context, a attempt) (config.Change, error) {
	change, err := a.change()
	if err != nil {
		return config.Change{}, err
	}
	return w.send(ctx, a, change)
}

// fateOf reads the attempt's row and the head at one moment.
func (s *Store) fateOf(ctx context.Context, id string, a attempt) (config.Change, fate, error) {
	if known, ok := s.recentWithID(id); ok {
		return known, fateWritten, nil
	}
	rows, err := s.options.Table.Get(ctx, changeKey(a.version), headKey)
	if err != nil {
		return config.Change{}, fateOpen, errors.Wrap(err, "read the change back")
	}
	row, err := rowOf(rows, changeKey(a.version))
	if err != nil {
		return config.Change{}, fateOpen, err
	}
	newest, err := rowOf(rows, headKey)
	if err != nil {
		return config.Change{}, fateOpen, err
	}
	if row.Revision == 0 {
		if newest.Revision == a.headRevision {
			return config.Change{}, fateOpen, nil
		}
		return config.Change{}, fateUnknown, nil
	}
	change, err := decodeChange(row)
	if err != nil {
		return config.Change{}, fateOpen, err
	}
	if change.ID == id {
		return change, fateWritten, nil
	}
	return config.Change{}, fateLost, nil
}

// change returns the change that the attempt writes.
func (a attempt) change() (config.Change, error) {
	key := changeKey(a.version)
	for _, write := range a.txn.Writes {
		if write.Key == key {
			return decodeChange(platform.Row{Key: write.Key, Value: write.Value})
		}
	}
	return config.Change{}, errors.Newf("the attempt does not write %s", key)
}
