// Package census knows which VMs relay requests: how many share what is shared, and
// whom to ask when the store does not answer.
//
// Each VM rewrites a row of its own at an interval. A VM whose row has not changed for
// a while is not counted any more; until then its share of a budget lies idle, which
// is the safe side. Nothing is decided by it that would be wrong with a VM too many or
// too few, so it needs neither clocks that agree nor a failure detector.
package census

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

const (
	// interval is the least pause between two writes of a VM's row, perVM what each VM
	// adds to it: at 320 VMs each writes every 128 s.
	interval = 8 * time.Second
	perVM    = 400 * time.Millisecond
	// expiryRounds is how many rounds a row may stay unchanged: two lost writes.
	expiryRounds = 3
	// firstInterval is the pause between two rounds until this VM has seen its own row, and so
	// those of all VMs that started together with it, which do so within some 300 ms.
	firstInterval = 2 * time.Second
	prefix        = "vm/"
	prefixEnd     = "vm0"
	maxVMs        = 500
)

// VM is one row.
type VM struct {
	Name string `json:"name"`
	// Address is IP:port of the listener for peers.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Cores is the part of a core that the VM has, 0 if it does not say.
	Cores float64 `json:"cores,omitempty"`
	// Beat changes with each write.
	Beat uint64 `json:"beat"`
}

// Census keeps the list of VMs.
type Census struct {
	table    platform.Table
	own      VM
	onChange func([]VM)
	logger   *zap.Logger

	mu   sync.Mutex // guards the fields below
	seen map[string]sighting
	vms  []VM
	// known says that the list was read, settled that this VM's own row stood in it.
	known, settled bool
}

// sighting is when a row's present revision was first read.
type sighting struct {
	revision uint64
	at       time.Time
}

// New returns a census that knows of its own VM alone. Each new list goes to onChange.
func New(table platform.Table, own VM, onChange func([]VM), logger *zap.Logger) *Census {
	return &Census{table: table, own: own, onChange: onChange, logger: logger, seen: map[string]sighting{}, vms: []VM{own}}
}

// VMs returns the VMs that are counted, this one included.
func (c *Census) VMs() []VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms
}

// First returns the first n VMs by size, and by a hash of their names among equals, which is
// the same on all VMs that have the same list.
func (c *Census) First(n int) []VM {
	vms := inOrder(c.VMs())
	return vms[:min(n, len(vms))]
}

// inOrder returns the VMs by size, the largest first, and in the order of a hash of their names
// among equals. What few VMs do for all others, answering their peers and asking all replicas
// each second, is thus done by those that have the processor time and the link for it: at 195
// VMs 15 have four times the time and ten times the link of the others.
func inOrder(all []VM) []VM {
	vms := slices.Clone(all)
	slices.SortFunc(vms, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	return vms
}

// Among reports whether this VM is one of the first n.
func (c *Census) Among(n int) bool {
	return slices.ContainsFunc(c.First(n), func(vm VM) bool { return vm.Name == c.own.Name })
}

const (
	// leastFollowers is how many VMs of each data centre follow the store's feed. The others
	// learn from them; with three, a fault of the store towards some VMs leaves one.
	leastFollowers = 3
	// vmsPerFollower is how many VMs learn from one follower at most. A configuration of
	// 1,770 profiles is some 40 KB to each, 0.3 s of a link of 20 Mbit/s for 16.
	vmsPerFollower = 16
)

// Followers returns the VMs that follow the store's feed, by data centre: the largest, and by a
// hash of their names among equals, which is the same on all VMs that have the same list.
func (c *Census) Followers() map[string][]VM { return FollowersOf(c.VMs()) }

// FollowersOf is Followers for a list of VMs.
func FollowersOf(all []VM) map[string][]VM {
	followers := map[string][]VM{}
	vms := inOrder(all)
	counts := map[string]int{}
	for _, vm := range vms {
		counts[vm.DataCentre]++
	}
	for _, vm := range vms {
		most := max(leastFollowers, (counts[vm.DataCentre]+vmsPerFollower-1)/vmsPerFollower)
		if len(followers[vm.DataCentre]) < most {
			followers[vm.DataCentre] = append(followers[vm.DataCentre], vm)
		}
	}
	return followers
}

// Follows reports whether this VM is one of those.
func (c *Census) Follows() bool {
	return slices.ContainsFunc(c.Followers()[c.own.DataCentre], func(vm VM) bool { return vm.Name == c.own.Name })
}

// pause is the time until the next round. It grows with the fleet, so that the calls of
// all VMs together stay at five a second.
func (c *Census) pause() time.Duration {
	if !c.isSettled() {
		return firstInterval
	}
	return max(interval, time.Duration(len(c.VMs()))*perVM)
}

// Run writes this VM's row and reads the others' until ctx ends.
func (c *Census) Run(ctx context.Context) {
	ctx = platform.WithPurpose(ctx, platform.PurposeVMs)
	for ctx.Err() == nil {
		if err := c.round(ctx); err != nil && ctx.Err() == nil {
			c.logger.Info("list of VMs not read", zap.Error(err))
		}
		sleep.For(ctx, c.pause())
	}
}

func (c *Census) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, interval/2)
	defer cancel()
	rows, err := c.table.Scan(ctx, prefix, prefixEnd, maxVMs)
	if err != nil {
		return err
	}
	c.take(rows)
	c.onChange(c.VMs())
	if !c.isSettled() && c.wrote(rows) {
		c.settle()
		return nil
	}
	return c.write(ctx, rows)
}

// wrote reports whether this VM's newest row stands in the table. The first look at it needs
// no write: when all VMs of a fleet start together, two writes each were a tenth of what the
// store was asked in the first minute (390 of 3,271 calls of 195 VMs).
func (c *Census) wrote(rows []platform.Row) bool {
	for _, row := range rows {
		var vm VM
		if row.Key == prefix+c.own.Name && json.Unmarshal(row.Value, &vm) == nil {
			return vm == c.own
		}
	}
	return false
}

// Known reports whether the list of VMs was ever read. Until then this VM counts itself alone.
func (c *Census) Known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

func (c *Census) isSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled
}

func (c *Census) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled = true
}

// write rewrites this VM's row. The row may be that of an earlier process of the same
// name, which is gone.
func (c *Census) write(ctx context.Context, rows []platform.Row) error {
	key := prefix + c.own.Name
	var revision uint64
	for _, row := range rows {
		if row.Key == key {
			revision = row.Revision
		}
	}
	c.own.Beat++
	value, err := json.Marshal(c.own)
	if err != nil {
		return err
	}
	return c.table.Commit(ctx, platform.Txn{
		ID:         uuid.NewString(),
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
}

func (c *Census) take(rows []platform.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	seen := make(map[string]sighting, len(rows))
	vms := []VM{c.own}
	for _, row := range rows {
		at := c.seen[row.Key]
		if at.revision != row.Revision {
			at = sighting{revision: row.Revision, at: now}
		}
		seen[row.Key] = at
		var vm VM
		if err := json.Unmarshal(row.Value, &vm); err != nil {
			c.logger.Warn("row of a VM not read", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		if vm.Name != c.own.Name && now.Sub(at.at) < expiryRounds*max(interval, time.Duration(len(rows))*perVM) {
			vms = append(vms, vm)
		}
	}
	c.seen = seen
	c.known = true
	if len(vms) != len(c.vms) {
		c.logger.Info("VMs counted", zap.Int("vms", len(vms)), zap.Int("before", len(c.vms)))
	}
	c.vms = vms
}
