package confstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
)

// History returns up to limit changes after a version, from memory if it holds them,
// otherwise from the table. The first change has a version above after+1 if compaction
// has dropped the changes in between.
func (s *Store) History(ctx context.Context, after uint64, limit int) ([]config.Change, error) {
	if recent, ok := s.ChangesAfter(after, limit); ok {
		return recent, nil
	}
	rows, err := s.options.Table.Scan(ctx, changeKey(after+1), changesEnd, min(limit, scanPageSize))
	if err != nil {
		return nil, errors.Wrap(err, "read the history")
	}
	return decodeChanges(rows)
}
