package claim

import (
	"context"

	"github.com/google/uuid"

	"geraniumcroft/internal/platform"
)

// singleWriter writes each row in a transaction of its own.
type singleWriter struct {
	table platform.Table
}

// write implements writer.
func (w *singleWriter) write(ctx context.Context, row newRow) error {
	return w.table.Commit(ctx, createTxn([]newRow{row}))
}

// createTxn returns a transaction that creates all of the rows or none. The rows are
// written only once, so a row that another transaction wrote proves that this one was
// refused.
func createTxn(rows []newRow) platform.Txn {
	txn := platform.Txn{ID: uuid.NewString(), Resolver: platform.ResolveWriteOnce}
	for _, row := range rows {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.key})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.key, Value: row.value})
	}
	return txn
}
