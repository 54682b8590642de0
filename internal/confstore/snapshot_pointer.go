package confstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
)

// snapshotPointer is the row that names the newest snapshot in the object store.
type snapshotPointer struct {
	Version uint64 `json:"version"`
	Object  string `json:"object"`
	// Digest is the hex SHA-256 of the object.
	Digest string `json:"digest"`
	// Previous are older objects that a slow reader may still fetch.
	Previous []string `json:"previous,omitempty"`

	rowRevision uint64
}

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

func decodePointer(row platform.Row) (snapshotPointer, error) {
	p := snapshotPointer{rowRevision: row.Revision}
	if row.Revision == 0 {
		return p, nil
	}
	err := json.Unmarshal(row.Value, &p)
	return p, errors.Wrap(err, "pointer to the snapshot")
}
