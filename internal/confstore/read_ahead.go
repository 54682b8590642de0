package confstore

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

const (
	// readAheadChanges is the number of changes that are read together with the head.
	readAheadChanges = 8
	// maxHeadReads bounds the reads of the head in one attempt. The head is read again if
	// there were more than readAheadChanges changes or if peers pushed newer ones.
	maxHeadReads = 4
)

// catchUp returns the head when its version is in force on this VM. If the table can't be
// read it returns a permanent error: nothing was written, and the author receives the
// error immediately instead of after the timeout.
func (p *proposer) catchUp(ctx context.Context) (head, error) {
	for range maxHeadReads {
		newest, err := p.readHead(ctx)
		if err != nil {
			return head{}, backoff.Permanent(err)
		}
		if p.store.Current().Version == newest.Version {
			return newest, backoff.Permanent(p.store.checkHead(newest))
		}
		if err := p.store.catchUp(ctx, newest.Version); err != nil {
			return head{}, backoff.Permanent(err)
		}
	}
	return head{}, errLostRace
}

// readHead reads the head and the next few changes in one consistent read and applies the
// changes. With separate reads, a VM that has lost a race would always find a newer head
// by the time it has read the changes, while the winner, which has its own change already,
// would keep winning.
func (p *proposer) readHead(ctx context.Context) (head, error) {
	before := p.store.Current().Version
	keys := []string{headKey}
	for ahead := range uint64(readAheadChanges) {
		keys = append(keys, changeKey(before+1+ahead))
	}
	rows, err := p.store.options.Table.Get(ctx, keys...)
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
	return newest, p.applyAhead(rows, newest)
}

// applyAhead applies the changes in the rows up to the head's version.
func (p *proposer) applyAhead(rows []platform.Row, newest head) error {
	var changes []config.Change
	for _, row := range rows {
		if row.Key == headKey || row.Revision == 0 {
			continue
		}
		change, err := decodeChange(row)
		if err != nil {
			return err
		}
		// Rows after the head's version remain from a history that was lost.
		if change.Version <= newest.Version {
			changes = append(changes, change)
		}
	}
	_, err := p.store.ApplyChanges(changes)
	return err
}
