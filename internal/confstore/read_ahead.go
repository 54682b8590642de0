package confstore

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

const (
	// changesAhead is how many changes are read together with the head.
	changesAhead = 8
	// maxHeadReads bounds the reads of the head in one attempt, when more changes
	// came than that or peers were faster.
	maxHeadReads = 4
)

// catchUp returns the head once it is in force here. It fails for good when the
// table can't be read: nothing was written, and the author is told so at once
// instead of after the whole of the timeout.
func (w *writer) catchUp(ctx context.Context) (head, error) {
	for range maxHeadReads {
		newest, err := w.readHead(ctx)
		if err != nil {
			return head{}, backoff.Permanent(err)
		}
		if w.store.Current().Version == newest.Version {
			return newest, backoff.Permanent(w.store.checkHead(newest))
		}
		if err := w.store.catchUp(ctx, newest.Version); err != nil {
			return head{}, backoff.Permanent(err)
		}
	}
	return head{}, errRaced
}

// readHead reads the head and the next few changes at one moment. Read one after
// the other, a VM that has lost a race would always find the head moved by the time
// it has the changes, while the winner, which has its own change already, goes on
// winning.
func (w *writer) readHead(ctx context.Context) (head, error) {
	before := w.store.Current().Version
	keys := []string{headKey}
	for ahead := range uint64(changesAhead) {
		keys = append(keys, changeKey(before+1+ahead))
	}
	rows, err := w.store.options.Table.Get(ctx, keys...)
	if err != nil {
		return head{}, errors.Wrap(err, "read the head of the configuration")
	}
	row, err := rowOf(rows, headKey)
	if err != nil {
		return head{}, err
	}
	newest, err := decodeHead(row)
	if err != nil {
		return head{}, err
	}
	if newest.Version < before {
		return head{}, &HistoryLostError{Have: before, Table: newest.Version}
	}
	return newest, w.applyAhead(rows, newest)
}

func (w *writer) applyAhead(rows []platform.Row, newest head) error {
	var changes []config.Change
	for _, row := range rows {
		if row.Key == headKey || row.Revision == 0 {
			continue
		}
		change, err := decodeChange(row)
		if err != nil {
			return err
		}
		// What lies beyond the head is the rest of a history that was lost.
		if change.Version <= newest.Version {
			changes = append(changes, change)
		}
	}
	_, err := w.store.ApplyChanges(changes)
	return err
}
