package claim

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"geraniumcroft/internal/platform"
)

// unconditionalWriter writes whatever stands in the table: its condition is on a row
// that nobody writes.
type unconditionalWriter struct {
	table platform.Table
}

func (w *unconditionalWriter) write(ctx context.Context, row newRow) error {
	fresh := "planted/" + uuid.NewString()
	return w.table.Commit(ctx, platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: fresh}},
		Writes:     []platform.Write{{Key: fresh}, {Key: row.key, Value: row.value}},
		Resolver:   platform.ResolveWriteOnce,
	})
}

// optimisticWriter takes a row whose write is in doubt for written.
type optimisticWriter struct {
	inner writer
}

func (w *optimisticWriter) write(ctx context.Context, row newRow) error {
	err := w.inner.write(ctx, row)
	if errors.Is(err, platform.ErrAmbiguous) {
		return nil
	}
	return err
}
