package confstore

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

func (w *writer) commit(ctx context.Context, newest head) (config.Change, error) {
	change := w.change
	change.Version = newest.Version + 1
	change.Time = time.Now().UTC()
	next, err := w.store.transaction(change, newest)
	if err != nil {
		return config.Change{}, backoff.Permanent(err)
	}
	return w.send(ctx, next, change)
}

// send commits an attempt. Only two errors say that nothing was written; every
// other one, of whatever type, leaves the attempt undecided.
func (w *writer) send(ctx context.Context, a attempt, change config.Change) (config.Change, error) {
	resent := w.undecided != nil
	w.undecided = &a
	err := w.store.options.Table.Commit(ctx, a.txn)
	switch {
	case err == nil:
		return w.committed(change)
	case errors.Is(err, platform.ErrRefused) && !resent:
		w.undecided = nil
		return config.Change{}, errRaced
	case errors.Is(err, platform.ErrUnavailable) && !resent:
		w.undecided = nil
		return config.Change{}, backoff.Permanent(err)
	}
	return config.Change{}, err
}

func (w *writer) committed(change config.Change) (config.Change, error) {
	w.undecided = nil
	// The change stands in the table whatever comes of it here: a VM that cannot
	// apply it logs so and is named as missing by Wait.
	_, _ = w.store.ApplyChanges([]config.Change{change})
	return change, nil
}
