package census

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

const (
	// minInterval is the least time between two writes of a VM's row. The interval is
	// intervalPerVM times the number of VMs where that is longer: 128 s at 320 VMs.
	minInterval   = 8 * time.Second
	intervalPerVM = 400 * time.Millisecond
	// expiryRounds is the number of rounds after which a VM whose row is unchanged is no longer
	// counted. It allows for two lost writes.
	expiryRounds = 3
	// startupInterval is the time between two rounds until this VM has read its own row. By then
	// it has also read the rows of all VMs that started together with it, within some 300 ms.
	startupInterval = 2 * time.Second
	rowPrefix       = "vm/"
	rowPrefixEnd    = "vm0"
	maxVMs          = 500
)

// Census keeps the list of VMs and this VM's row in it. It is safe for concurrent use.
type Census struct {
	table    platform.Table
	own      VM
	onChange func([]VM)
	logger   *zap.Logger
	// registered says that this VM has read its own current row. Only Run uses it.
	registered bool

	mu       sync.Mutex // guards the fields below
	observed map[string]observation
	vms      []VM
	// followsFeed says whether this VM is one of the followers in vms. It is cached because each
	// query of a peer needs it, and sorting 195 VMs takes 57 us.
	followsFeed bool
	// loaded says that the list was read.
	loaded bool
	// listedAt is when this VM's row was first read, zero before. listedBefore says that the
	// first list had a row of an earlier process of this VM.
	listedAt     time.Time
	listedBefore bool
}

// observation is a row's current revision and when it was first read.
type observation struct {
	revision uint64
	at       time.Time
}

// New returns a census that lists only this VM. Run passes each list that it reads to onChange.
func New(table platform.Table, own VM, onChange func([]VM), logger *zap.Logger) *Census {
	return &Census{table: table, own: own, onChange: onChange, logger: logger, observed: map[string]observation{}, vms: []VM{own}, followsFeed: true}
}

// VMs returns the VMs that are counted, including this one.
func (c *Census) VMs() []VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms
}

// nextInterval returns the time until the next round. Once the VM is registered, it grows with the
// fleet, so that all VMs together make at most five calls a second.
func (c *Census) nextInterval() time.Duration {
	if !c.registered {
		return startupInterval
	}
	return c.steadyInterval()
}

// steadyInterval returns the time between two rounds of a VM that is registered.
func (c *Census) steadyInterval() time.Duration {
	return max(minInterval, time.Duration(len(c.VMs()))*intervalPerVM)
}

// Run writes this VM's row and reads those of the others until ctx ends.
func (c *Census) Run(ctx context.Context) {
	ctx = platform.WithPurpose(ctx, platform.PurposeVMs)
	for ctx.Err() == nil {
		if err := c.round(ctx); err != nil && ctx.Err() == nil {
			c.logger.Info("list of VMs not read", zap.Error(err))
		}
		sleep.For(ctx, c.nextInterval())
	}
}

// round reads the list and then writes this VM's row. The write is skipped once, when the current
// row is first found in the table.
func (c *Census) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, minInterval/2)
	defer cancel()
	rows, err := c.table.Scan(ctx, rowPrefix, rowPrefixEnd, maxVMs)
	if err != nil {
		return err
	}
	c.update(rows)
	c.onChange(c.VMs())
	if !c.registered && c.hasCurrentRow(rows) {
		c.registered = true
		return nil
	}
	return c.writeRow(ctx, rows)
}

// hasCurrentRow reports whether the table holds this VM's row as this process would write it.
// The first round that finds it needs no write: when all VMs of a fleet start together, two
// writes by each were a tenth of the calls to the store in the first minute (390 of 3,271 calls
// of 195 VMs). The row of an earlier process of this VM is current too if the others count it
// until this process writes; its heartbeat is then taken over. The list is complete in that case,
// and a restart costs one call instead of three.
func (c *Census) hasCurrentRow(rows []platform.Row) bool {
	row := c.ownRow(rows)
	var vm VM
	if json.Unmarshal(row.Value, &vm) != nil || !vm.sameVM(c.own) {
		return false
	}
	if vm.Heartbeat == c.own.Heartbeat {
		return true
	}
	age, known := vm.ageAt(row.ReadAt)
	if !known || age > c.steadyInterval() {
		return false
	}
	c.own.Heartbeat = vm.Heartbeat
	return true
}

// ownRow returns this VM's row. If there is none, it returns a row of revision 0 without a value.
func (c *Census) ownRow(rows []platform.Row) platform.Row {
	key := rowPrefix + c.own.Name
	if i := slices.IndexFunc(rows, func(r platform.Row) bool { return r.Key == key }); i >= 0 {
		return rows[i]
	}
	return platform.Row{Key: key}
}

// Loaded reports whether the list of VMs was ever read. Until then this VM counts only itself.
func (c *Census) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// Counted reports whether other VMs count this one: the row of an earlier process of this VM was
// in the first list, or this VM's row has been in the table for minInterval. In a fleet of more
// than 20 VMs rounds take longer than that, and some VMs may not count this one yet.
func (c *Census) Counted(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedBefore || !c.listedAt.IsZero() && now.Sub(c.listedAt) >= minInterval
}

// writeRow rewrites this VM's row. The row may be that of an earlier process of the same VM,
// which has ended.
func (c *Census) writeRow(ctx context.Context, rows []platform.Row) error {
	row := c.ownRow(rows)
	c.own.Heartbeat++
	c.own.WrittenMS = readAt(rows).Milliseconds()
	value, err := json.Marshal(c.own)
	if err != nil {
		return err
	}
	return c.table.Commit(ctx, platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: row.Key, Revision: row.Revision}},
		Writes:     []platform.Write{{Key: row.Key, Value: value}},
	})
}

// readAt returns the time of the table's clock at which the rows were read, 0 if it is unknown.
func readAt(rows []platform.Row) time.Duration {
	if len(rows) == 0 {
		return 0
	}
	return rows[0].ReadAt
}

// update sets the list of VMs to this one and those whose rows have changed within expiryRounds
// rounds.
func (c *Census) update(rows []platform.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	observed := make(map[string]observation, len(rows))
	vms := []VM{c.own}
	for _, row := range rows {
		last := c.observed[row.Key]
		if last.revision != row.Revision {
			last = observation{revision: row.Revision, at: now}
		}
		observed[row.Key] = last
		if row.Key == rowPrefix+c.own.Name && c.listedAt.IsZero() {
			c.listedAt, c.listedBefore = now, !c.loaded
		}
		var vm VM
		if err := json.Unmarshal(row.Value, &vm); err != nil {
			c.logger.Warn("failed to decode a VM's row", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		if vm.Name != c.own.Name && now.Sub(last.at) < expiryRounds*max(minInterval, time.Duration(len(rows))*intervalPerVM) {
			vms = append(vms, vm)
		}
	}
	c.observed = observed
	c.loaded = true
	if len(vms) != len(c.vms) {
		c.logger.Info("VMs counted", zap.Int("vms", len(vms)), zap.Int("before", len(c.vms)))
	}
	c.vms = vms
	c.followsFeed = c.includesSelf(FollowersOf(vms)[c.own.DataCentre])
}
