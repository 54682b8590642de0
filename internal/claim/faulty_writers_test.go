package claim

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"geraniumcroft/internal/platform"
)

// unconditionalWriter overwrites existing rows: its condition is on a row that nothing
// else writes.
type unconditionalWriter struct {
	table platform.Table
}

// write implements writer.
func (w *unconditionalWriter) write(ctx context.Context, row newRow) error {
	fresh := "planted/" + uuid.NewString()
	return w.table.Commit(ctx, platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: fresh}},
		Writes:     []platform.Write{{Key: fresh}, {Key: row.key, Value: row.value}},
		Resolver:   platform.ResolveWriteOnce,
	})
}

// optimisticWriter treats an ambiguous write as successful.
type optimisticWriter struct {
	inner writer
}

// write implements writer.
func (w *optimisticWriter) write(ctx context.Context, row newRow) error {
	err := w.inner.write(ctx, row)
	if errors.Is(err, platform.ErrAmbiguous) {
		return nil
	}
	return err
}
