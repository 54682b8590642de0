package entry

import (
	"bytes"

	"geraniumcroft/internal/relay"
)

// decodedEntry is a row of discovery with the result of decoding it.
type decodedEntry struct {
	row     []byte
	replica relay.Replica
	err     error
}

// decodedEntries caches the decoded rows of one version of the table, by id. A change of the
// table concerns few rows, while decoding all rows of 3,000 replicas takes 20 ms or more.
type decodedEntries map[string]decodedEntry

// next returns the decoded rows of the next version of the table. Only rows that have changed
// are decoded.
func (d decodedEntries) next(rows map[string][]byte, decode func(id string, row []byte) (relay.Replica, error)) decodedEntries {
	next := make(decodedEntries, len(rows))
	for id, row := range rows {
		entry, known := d[id]
		if !known || !bytes.Equal(entry.row, row) {
			entry = decodedEntry{row: row}
			entry.replica, entry.err = decode(id, row)
		}
		next[id] = entry
	}
	return next
}
