package claim

import (
	"slices"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

// pendingRow is a row that waits in the queue or belongs to a group in flight.
type pendingRow struct {
	newRow
	urgency config.Urgency
	// done receives the row's result once. It is buffered, so that the sender does not
	// block.
	done chan error
}

// resolveRefused sends each refused row its result and returns the other rows.
func resolveRefused(group []*pendingRow, refused *platform.RefusedError) []*pendingRow {
	var remaining []*pendingRow
	for _, pending := range group {
		at := slices.IndexFunc(refused.Rows, func(row platform.Row) bool { return row.Key == pending.key })
		if at < 0 {
			remaining = append(remaining, pending)
			continue
		}
		pending.done <- &platform.RefusedError{Rows: refused.Rows[at : at+1]}
	}
	return remaining
}

// resolveAll sends every row of the group the same result.
func resolveAll(group []*pendingRow, err error) {
	for _, pending := range group {
		pending.done <- err
	}
}

// rowsOf returns the rows to be created by the group.
func rowsOf(group []*pendingRow) []newRow {
	rows := make([]newRow, 0, len(group))
	for _, pending := range group {
		rows = append(rows, pending.newRow)
	}
	return rows
}
