package confstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// snapshotPointer is the value of the pointer row, which refers to the newest snapshot in
// the object store.
type snapshotPointer struct {
	Version uint64 `json:"version"`
	// Object is the object's name.
	Object string `json:"object"`
	// Digest is the hex SHA-256 of the object.
	Digest string `json:"digest"`
	// Previous lists older objects that a slow reader may still fetch, newest first.
	Previous []string `json:"previous,omitempty"`

	// rowRevision is the row's revision in the table, 0 if there is no row.
	rowRevision uint64
}

// readPointer reads the pointer row.
func (s *Store) readPointer(ctx context.Context) (snapshotPointer, error) {
	rows, err := s.options.Table.Get(ctx, snapshotKey)
	if err != nil {
		return snapshotPointer{}, errors.Wrap(err, "read the pointer to the snapshot")
	}
	row, err := rowOf(rows, snapshotKey)
	if err != nil {
		return snapshotPointer{}, err
	}
	return decodePointer(row)
}

// decodePointer decodes the pointer row. It returns version 0 if there is no row.
func decodePointer(row platform.Row) (snapshotPointer, error) {
	p := snapshotPointer{rowRevision: row.Revision}
	if row.Revision == 0 {
		return p, nil
	}
	err := json.Unmarshal(row.Value, &p)
	return p, errors.Wrap(err, "pointer to the snapshot")
}
