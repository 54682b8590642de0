package census

import (
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// observation is a row's current revision and when it was first read.
type observation struct {
	revision uint64
	at       time.Time
}

// applyRows replaces the list by the VMs of all rows of the table that are counted.
func (c *Census) applyRows(rows []platform.Row) {
	c.registration.observe(c.ownRow(rows))
	counted := c.countedVMs(rows, expiryRounds*intervalFor(len(rows)))
	next, err := newSnapshot(counted, rows)
	if err != nil {
		c.logger.Error("list of VMs not encoded", zap.Error(err))
		return
	}
	if !c.confirmVMs(next) {
		c.replaceSnapshot(next)
	}
}

// setLargest sets the list to this VM and the largest ones, and reports whether this VM is one of
// those that follow the feed. How often the VMs rewrite their rows is not known yet, so none is
// left out for the age of its row.
func (c *Census) setLargest(rows []platform.Row) (followsFeed bool) {
	c.registration.readAt(readAt(rows))
	largest := c.countedVMs(rows, maxRowAge)
	c.mu.Lock()
	c.setVMs(largest)
	c.mu.Unlock()
	c.onChange(c.VMs())
	return c.FollowsFeed()
}

// countedVMs returns the VMs whose rows have been rewritten within a time. Where a row does not
// show its age, the time for which this VM has seen it unchanged counts.
func (c *Census) countedVMs(rows []platform.Row, limit time.Duration) []VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	observed := make(map[string]observation, len(rows))
	newest := map[string]VM{}
	for _, row := range rows {
		last := c.observed[row.Key]
		if last.revision != row.Revision {
			last = observation{revision: row.Revision, at: now}
		}
		observed[row.Key] = last
		var vm VM
		if err := json.Unmarshal(row.Value, &vm); err != nil {
			c.logger.Warn("failed to decode a VM's row", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		age, known := vm.ageAt(row.ReadAt)
		if !known {
			age = now.Sub(last.at)
		}
		// A VM has a second row if its size or the program's version has changed.
		if other, twice := newest[vm.Name]; age < limit && (!twice || other.WrittenMS < vm.WrittenMS) {
			newest[vm.Name] = vm
		}
	}
	c.observed = observed
	vms := make([]VM, 0, len(newest))
	for _, vm := range newest {
		vms = append(vms, vm)
	}
	return vms
}

// ownRow returns this VM's row. If there is none, it returns a row of revision 0 without a value.
func (c *Census) ownRow(rows []platform.Row) platform.Row {
	key := c.own.key()
	if i := slices.IndexFunc(rows, func(r platform.Row) bool { return r.Key == key }); i >= 0 {
		return rows[i]
	}
	return platform.Row{Key: key, ReadAt: readAt(rows)}
}

// readAt returns the time of the table's clock at which the rows were read, 0 if it is unknown.
func readAt(rows []platform.Row) time.Duration {
	if len(rows) == 0 {
		return 0
	}
	return rows[0].ReadAt
}

// eraOf returns the store's era in which the rows were read, 0 if it is unknown.
func eraOf(rows []platform.Row) uint64 {
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Era
}
