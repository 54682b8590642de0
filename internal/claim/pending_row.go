package claim

import (
	"slices"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

// pendingRow is a row on its way into the table.
type pendingRow struct {
	newRow
	urgency config.Urgency
	// done takes the row's result once; it has room for it.
	done chan error
}

// dropRefused tells the refused rows and returns the others.
func dropRefused(group []*pendingRow, refused *platform.RefusedError) []*pendingRow {
	var rest []*pendingRow
	for _, pending := range group {
		at := slices.IndexFunc(refused.Rows, func(row platform.Row) bool { return row.Key == pending.key })
		if at < 0 {
			rest = append(rest, pending)
			continue
		}
		pending.done <- &platform.RefusedError{Rows: refused.Rows[at : at+1]}
	}
	return rest
}

func finish(group []*pendingRow, err error) {
	for _, pending := range group {
		pending.done <- err
	}
}

func rowsOf(group []*pendingRow) []newRow {
	rows := make([]newRow, 0, len(group))
	for _, pending := range group {
		rows = append(rows, pending.newRow)
	}
	return rows
}
