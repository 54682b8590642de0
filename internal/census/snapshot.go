package census

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// TableName is the name of the list of VMs among the tables that VMs copy from each other.
const TableName = "vms"

// snapshotKey is the key of the only row of a copy of the list.
const snapshotKey = "all"

// snapshot is a list of VMs as it was in the table at one time.
type snapshot struct {
	// version is the era of the table and the time of the table's clock, in milliseconds, at which
	// the table was first read with these VMs.
	version platform.Version
	// vms are sorted by name and hold no heartbeats.
	vms []VM
	// encoded is vms as peers get them.
	encoded []byte
	// confirmedAt is when the table was last known to hold these VMs.
	confirmedAt time.Time
}

// Since returns the list for a peer whose copy has the given version, and the time since the
// table was known to hold it. The change is empty if the peer's copy is not older. The third
// result is false if this VM has no complete list.
func (c *Census) Since(after platform.Version) (platform.TableChange, time.Duration, bool) {
	c.mu.Lock()
	s := c.snapshot
	c.mu.Unlock()
	if s == nil {
		return platform.TableChange{}, 0, false
	}
	change := platform.TableChange{Version: s.version}
	if s.version.After(after) {
		change.Whole, change.Written = true, map[string][]byte{snapshotKey: s.encoded}
	}
	return change, time.Since(s.confirmedAt), true
}

// takeCopy applies a peer's answer of the given age.
func (c *Census) takeCopy(change platform.TableChange, age time.Duration) {
	at := time.Now().Add(-age)
	if !change.Whole {
		c.confirm(change.Version, at)
		return
	}
	var vms []VM
	if err := json.Unmarshal(change.Written[snapshotKey], &vms); err != nil {
		c.logger.Warn("peer's list of VMs not decoded", zap.Error(err))
		return
	}
	c.replaceSnapshot(&snapshot{version: change.Version, vms: vms, encoded: change.Written[snapshotKey], confirmedAt: at})
}

// confirm records that the table held the present list at the given time, if it has the version.
func (c *Census) confirm(version platform.Version, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.snapshot; now != nil && now.version == version {
		c.snapshot = now.merge(version, at)
	}
}

// confirmVMs reports whether the present list has the same VMs as one that was just read, and
// records then that the table holds them. Within an era the version stays, so that peers need not
// copy the list again.
func (c *Census) confirmVMs(read *snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil || !slices.Equal(c.snapshot.vms, read.vms) {
		return false
	}
	if read.version.Era == c.snapshot.version.Era {
		read.version = c.snapshot.version
	}
	c.snapshot = c.snapshot.merge(read.version, read.confirmedAt)
	return true
}

// replaceSnapshot takes over a list that was confirmed later than the present one. Of two lists of
// the same VMs the later version counts, so that peers with it need not copy the list again.
func (c *Census) replaceSnapshot(next *snapshot) {
	if c.storeSnapshot(next) {
		c.onChange(c.VMs())
	}
}

// storeSnapshot does the work of replaceSnapshot and reports whether the VMs have changed.
func (c *Census) storeSnapshot(next *snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.snapshot
	switch {
	case now != nil && slices.Equal(now.vms, next.vms):
		c.snapshot = now.merge(next.version, next.confirmedAt)
		return false
	case now != nil && !next.confirmedAt.After(now.confirmedAt):
		return false
	}
	if now != nil {
		c.changedAt = time.Now()
	}
	c.snapshot = next
	c.setVMs(next.vms)
	return true
}

// merge returns the snapshot with what another one of the same VMs adds.
func (s *snapshot) merge(version platform.Version, confirmedAt time.Time) *snapshot {
	merged := *s
	if version.After(s.version) {
		merged.version = version
	}
	if confirmedAt.After(s.confirmedAt) {
		merged.confirmedAt = confirmedAt
	}
	return &merged
}

// newSnapshot returns the list of the VMs which are counted, of the given rows.
func newSnapshot(counted []VM, rows []platform.Row) (*snapshot, error) {
	s := &snapshot{version: platform.Version{Era: eraOf(rows), Revision: uint64(readAt(rows).Milliseconds())}, confirmedAt: time.Now()}
	for _, vm := range counted {
		s.vms = append(s.vms, vm.identity())
	}
	slices.SortFunc(s.vms, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	var err error
	s.encoded, err = json.Marshal(s.vms)
	return s, err
}
