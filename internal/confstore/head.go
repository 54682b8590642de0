package confstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// head is the value of the head row, which identifies the newest change.
type head struct {
	Version uint64 `json:"version"`
	// ChangeID is the newest change's id. It distinguishes histories with equal versions.
	ChangeID string `json:"changeId"`
	// rowRevision is the row's revision in the table, 0 if there is no row.
	rowRevision uint64
}

// decodeHead decodes the head row. It returns version 0 if there is no row.
func decodeHead(row platform.Row) (head, error) {
	h := head{rowRevision: row.Revision}
	if row.Revision == 0 {
		return h, nil
	}
	err := json.Unmarshal(row.Value, &h)
	return h, errors.Wrap(err, "head of the configuration")
}

// readHead reads the head row.
func (s *Store) readHead(ctx context.Context) (head, error) {
	rows, err := s.options.Table.Get(ctx, headKey)
	if err != nil {
		return head{}, errors.Wrap(err, "read the head of the configuration")
	}
	row, err := rowOf(rows, headKey)
	if err != nil {
		return head{}, err
	}
	return decodeHead(row)
}

// rowOf returns the row with the key. The rows may be in any order.
func rowOf(rows []platform.Row, key string) (platform.Row, error) {
	for _, row := range rows {
		if row.Key == key {
			return row, nil
		}
	}
	return platform.Row{}, errors.Newf("the table's answer lacks the key %s", key)
}
