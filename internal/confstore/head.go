package confstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// head is the row that names the newest change.
type head struct {
	Version uint64 `json:"version"`
	// ChangeID is the newest change's id, to tell histories apart.
	ChangeID string `json:"changeId"`
	// rowRevision is the row's revision in the table, 0 when there is no row.
	rowRevision uint64
}

func decodeHead(row platform.Row) (head, error) {
	h := head{rowRevision: row.Revision}
	if row.Revision == 0 {
		return h, nil
	}
	err := json.Unmarshal(row.Value, &h)
	return h, errors.Wrap(err, "head of the configuration")
}

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

// rowOf returns the row of a key from an answer, in whatever order the rows stand.
func rowOf(rows []platform.Row, key string) (platform.Row, error) {
	for _, row := range rows {
		if row.Key == key {
			return row, nil
		}
	}
	return platform.Row{}, errors.Newf("the table's answer lacks the key %s", key)
}
