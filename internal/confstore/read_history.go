package confstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
)

// History returns up to limit changes that follow a version, from memory or else
// from the table. The first one's version is higher than after+1 when compaction
// has dropped what was between.
func (s *Store) History(ctx context.Context, after uint64, limit int) ([]config.Change, error) {
	if recent, ok := s.ChangesAfter(after, limit); ok {
		return recent, nil
	}
	rows, err := s.options.Table.Scan(ctx, changeKey(after+1), changesEnd, min(limit, scanPage))
	if err != nil {
		return nil, errors.Wrap(err, "read the history")
	}
	return decodeChanges(rows)
}
