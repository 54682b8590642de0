package census

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

const (
	// firstStartSpread is the time over which the VMs of a fleet that starts for the first time
	// write their rows: the store takes some 200 writes a second of one table.
	firstStartSpread = 4 * time.Second
	// firstStartRetrySpread is the same for writes that the store has turned away.
	firstStartRetrySpread = 6 * time.Second
	// firstStartWait is how long after its start such a VM reads the rows of the others.
	firstStartWait = 1800 * time.Millisecond
)

// registration is the state of this VM's row in the table.
type registration struct {
	// row is the row as it was last read, known says whether it was. A row of revision 0 does not
	// exist.
	row   platform.Row
	known bool
	// registered says that the table holds the row as this process writes it. written says that
	// this process has written it.
	registered, written bool
	// lastWrite is when the row was last written, or assumed to be.
	lastWrite time.Time
	// notBefore is the earliest time of the next write, after one that the table turned away and
	// where many VMs start together.
	notBefore time.Time
	// clock is what the table's clock last showed, at clockAt; 0 if unknown.
	clock   time.Duration
	clockAt time.Time
}

// observe records the row as it was read.
func (r *registration) observe(row platform.Row) {
	r.row, r.known = row, true
	r.readAt(row.ReadAt)
}

func (r *registration) readAt(clock time.Duration) {
	if clock > 0 {
		r.clock, r.clockAt = clock, time.Now()
	}
}

// now estimates what the table's clock shows, 0 if that is unknown.
func (r *registration) now() time.Duration {
	if r.clock == 0 {
		return 0
	}
	// The monotonic clock may stop while the VM is frozen, so the wall clock counts too.
	now := time.Now()
	return r.clock + max(now.Sub(r.clockAt), now.Round(0).Sub(r.clockAt.Round(0)))
}

// maintainRow writes this VM's row if it is missing, outdated or due.
func (c *Census) maintainRow(ctx context.Context) {
	r := &c.registration
	if !r.registered && c.hasCurrentRow() {
		r.registered = true
		r.lastWrite = time.Now().Add(-rand.N(max(minInterval, c.steadyInterval()-startupTime)))
		return
	}
	switch {
	case r.registered && time.Since(r.lastWrite) < c.steadyInterval(), !r.registered && c.mayBeListed(), time.Now().Before(r.notBefore):
		return
	case !r.registered && !r.known && r.notBefore.IsZero():
		r.notBefore = time.Now().Add(rand.N(startupInterval / 2))
		return
	}
	if err := c.writeRow(ctx); err != nil {
		r.notBefore = time.Now().Add(startupInterval/2 + rand.N(c.retrySpread()))
		if ctx.Err() == nil {
			c.logger.Info("row of this VM not written", zap.Error(err))
		}
		return
	}
	r.registered, r.written = true, true
	r.lastWrite = time.Now()
}

// retrySpread returns the time over which the VMs whose writes the table has turned away write again. Where
// a whole fleet starts for the first time, the table is still busy with the others' writes.
func (c *Census) retrySpread() time.Duration {
	if c.firstStart && time.Since(c.startedAt) < startupTime {
		return firstStartRetrySpread
	}
	return startupInterval
}

// hasCurrentRow reports whether the table holds this VM's row as this process would write it, and
// others count it until the next write. It is then not written at a start: when all VMs of a fleet
// start together, these writes were a tenth of the calls to the store in the first minute.
func (c *Census) hasCurrentRow() bool {
	if !c.registration.known {
		return c.listedByPeers()
	}
	row := c.registration.row
	var vm VM
	if row.Revision == 0 || json.Unmarshal(row.Value, &vm) != nil || !vm.sameVM(c.own) {
		return false
	}
	age, known := vm.ageAt(row.ReadAt)
	if !known || age > c.steadyInterval() {
		return false
	}
	c.own.Heartbeat = vm.Heartbeat
	return true
}

// mayBeListed reports whether the complete list, which may have this VM, is about to come from
// peers.
func (c *Census) mayBeListed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded && c.snapshot == nil && time.Since(c.startedAt) < startupInterval/2
}

// listedByPeers reports whether the list has a VM that equals this one.
func (c *Census) listedByPeers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return false
	}
	for _, vm := range c.snapshot.vms {
		if vm.sameVM(c.own) {
			return true
		}
	}
	return false
}

// writeRow rewrites this VM's row. The row may be that of an earlier process of the same VM,
// which has ended; its revision is then in the table's refusal.
func (c *Census) writeRow(ctx context.Context) error {
	if c.registration.registered {
		if err := c.readRow(ctx); err != nil {
			return err
		}
	}
	err := c.commitRow(ctx)
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		if err := c.readRow(ctx); err != nil || c.hasCurrentRow() {
			return err
		}
		return c.commitRow(ctx)
	}
	return err
}

// readRow reads this VM's row.
func (c *Census) readRow(ctx context.Context) error {
	rows, err := c.table.Get(ctx, c.own.key())
	if err != nil {
		return err
	}
	c.registration.observe(rows[0])
	return nil
}

func (c *Census) commitRow(ctx context.Context) error {
	r := &c.registration
	var before VM
	if json.Unmarshal(r.row.Value, &before) == nil {
		c.own.Heartbeat = max(c.own.Heartbeat, before.Heartbeat)
	}
	c.own.Heartbeat++
	c.own.WrittenMS = r.now().Milliseconds()
	value, err := json.Marshal(c.own)
	if err != nil {
		return err
	}
	key := c.own.key()
	return c.table.Commit(ctx, platform.Txn{
		ID:         uuid.NewString(),
		Era:        r.row.Era,
		Conditions: []platform.Condition{{Key: key, Revision: r.row.Revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
}

// deleteOutdatedRow deletes the row of one VM that no longer exists. Such rows would otherwise
// fill what a starting VM reads.
func (c *Census) deleteOutdatedRow(ctx context.Context, rows []platform.Row) {
	limit := max(maxRowAge, 2*expiryRounds*intervalFor(len(rows)))
	for _, row := range rows {
		var vm VM
		if json.Unmarshal(row.Value, &vm) != nil {
			continue
		}
		if age, known := vm.ageAt(row.ReadAt); !known || age < limit {
			continue
		}
		err := c.table.Commit(ctx, platform.Txn{
			ID:         uuid.NewString(),
			Era:        row.Era,
			Conditions: []platform.Condition{{Key: row.Key, Revision: row.Revision}},
			Writes:     []platform.Write{{Key: row.Key, Delete: true}},
		})
		c.logger.Info("row of a VM that no longer exists deleted", zap.String("key", row.Key), zap.Error(err))
		return
	}
}

// registerFirst writes this VM's row before any other is read, or soon afterwards, and waits until
// those of the others can be expected. If all VMs of a fleet that starts for the first time read the
// list at once, they find it empty and all take themselves for the largest.
func (c *Census) registerFirst(ctx context.Context) {
	r := &c.registration
	wait := rand.N(firstStartSpread)
	r.known, r.notBefore = true, c.startedAt.Add(wait)
	if wait < firstStartWait && sleep.For(ctx, wait) {
		timed, cancel := context.WithTimeout(ctx, roundTimeout)
		c.maintainRow(timed)
		cancel()
	}
	sleep.For(ctx, firstStartWait-time.Since(c.startedAt)+rand.N(firstStartWait/4))
}
