package roster

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumcroft/internal/platform"
)

// Register writes this VM's row. It must return before this VM reads the configuration.
func (r *Roster) Register(ctx context.Context) error {
	value, err := json.Marshal(rowValue{VM: r.vm, Since: time.Now()})
	if err != nil {
		return err
	}
	return r.write(ctx, platform.Write{Key: rowPrefix + r.vm, Value: value})
}

// Unregister deletes this VM's row. It is called after the VM's last request. Ensure does nothing
// from then on.
func (r *Roster) Unregister(ctx context.Context) error {
	r.unregistered.Store(true)
	return r.write(ctx, platform.Write{Key: rowPrefix + r.vm, Delete: true})
}

// write writes a row on the condition that it has not changed since it was read.
func (r *Roster) write(ctx context.Context, write platform.Write) error {
	rows, err := r.table.Get(ctx, write.Key)
	if err != nil {
		return err
	}
	return r.commit(ctx, rows[0], write)
}

// commit writes a row on the condition that it still has the given revision.
func (r *Roster) commit(ctx context.Context, row platform.Row, write platform.Write) error {
	err := r.table.Commit(ctx, platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: row.Key, Revision: row.Revision}},
		Writes:     []platform.Write{write},
	})
	return errors.Wrapf(err, "update row of VM %s", strings.TrimPrefix(write.Key, rowPrefix))
}

// Ensure writes this VM's row again if it is missing. The sweep of another VM deletes it after the
// two were cut off from each other for a long time. Without the row, a change would be accepted
// without this VM the next time that its peers hold it dead.
func (r *Roster) Ensure(ctx context.Context) error {
	rows, err := r.table.Get(ctx, rowPrefix+r.vm)
	if err != nil || rows[0].Revision != 0 || r.unregistered.Load() {
		return err
	}
	return r.Register(ctx)
}
