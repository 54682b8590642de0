package confstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

const (
	// scanPageSize is the maximum number of rows of one scan.
	scanPageSize = 256
	// maxCatchUpReads bounds the reads of one catch-up: pages of the history's tail, and
	// snapshots if compaction has dropped rows that the reader still needs.
	maxCatchUpReads = 64
)

// catchUp reads changes from the table, or else the snapshot, until the version is in
// force.
func (s *Store) catchUp(ctx context.Context, version uint64) error {
	for range maxCatchUpReads {
		before := s.Current().Version
		if before >= version {
			return nil
		}
		if err := s.readTail(ctx); err != nil {
			return err
		}
		if s.Current().Version > before {
			continue
		}
		if err := s.readSnapshot(ctx); err != nil {
			return err
		}
		// Neither the tail nor the snapshot continues the version in force: rows are
		// missing.
		if s.Current().Version == before {
			return errors.Newf("the table holds neither change %d nor a newer snapshot", before+1)
		}
	}
	return errors.Newf("version %d was not reached in %d reads", version, maxCatchUpReads)
}

// readTail reads and applies one page of changes after the version in force.
func (s *Store) readTail(ctx context.Context) error {
	from := changeKey(s.Current().Version + 1)
	rows, err := s.options.Table.Scan(ctx, from, changesEnd, scanPageSize)
	if err != nil {
		return errors.Wrap(err, "read the tail of the configuration")
	}
	changes, err := decodeChanges(rows)
	if err != nil {
		return err
	}
	_, err = s.ApplyChanges(changes)
	return err
}

// decodeChanges decodes the rows of changes.
func decodeChanges(rows []platform.Row) ([]config.Change, error) {
	changes := make([]config.Change, 0, len(rows))
	for _, row := range rows {
		change, err := decodeChange(row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// decodeChange decodes the row of a change. It returns an error if the row's key does
// not belong to the change's version.
func decodeChange(row platform.Row) (config.Change, error) {
	var change config.Change
	if err := json.Unmarshal(row.Value, &change); err != nil {
		return change, errors.Wrapf(err, "row %s", row.Key)
	}
	if row.Key != changeKey(change.Version) {
		return change, errors.Newf("row %s holds change %d", row.Key, change.Version)
	}
	return change, nil
}
