package loads

import (
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform"
)

const (
	// TableName is the name of the snapshot among the tables that VMs copy from each other. It has
	// a row for each data centre.
	TableName = "loads"
	// partPrefix and a data centre are the name of the table with that data centre's part alone.
	partPrefix = TableName + "/"
)

const (
	// maxDownFraction is the fraction of all replicas that may be marked as down at once. If
	// more do not answer, the VM that polls is more likely cut off from a data centre, which
	// has a third or a quarter of them.
	maxDownFraction = 0.3
	// maxDownSmall replicas may be marked as down however few replicas there are.
	maxDownSmall = 2
	// wantedTime is how long this VM copies the parts of other data centres after a request that
	// its own data centre had no capacity for.
	wantedTime = 10 * time.Second
)

// attachmentKey is the key of the data that is sent with each snapshot. No data centre has such a
// name.
const attachmentKey = "\x00attached"

// Attachment is data of another package that is sent with each copy of the snapshot.
type Attachment interface {
	// Attachment returns this VM's encoded data, nil if there is none.
	Attachment() []byte
	// Learn applies a peer's encoded data of the given age.
	Learn(data []byte, age time.Duration)
}

// Cache holds this VM's copy of the newest snapshot of the replicas' loads, in a part for each data
// centre. A VM reads the part of its own data centre, and those of the others only for some time
// after it has wanted them. It is safe for concurrent use.
type Cache struct {
	dataCentre string
	onChange   func(map[incarnation.Key]layers.Load)
	logger     *zap.Logger
	attachment Attachment

	// wantedUntil is the Unix time in nanoseconds until which this VM reads all parts. It is atomic
	// because it is set while the tables of replicas are locked, which onChange locks.
	wantedUntil atomic.Int64

	mu    sync.Mutex // guards the field below
	parts map[string]*part
}

// NewCache returns an empty cache of a VM in a data centre. The cache calls onChange with the loads
// of each newer part that the VM reads, while it holds its lock.
func NewCache(dataCentre string, onChange func(map[incarnation.Key]layers.Load), logger *zap.Logger) *Cache {
	return &Cache{dataCentre: dataCentre, onChange: onChange, logger: logger, parts: map[string]*part{}}
}

// Attach sets the data that is sent with each snapshot. It must be called before the cache is
// used.
func (c *Cache) Attach(a Attachment) { c.attachment = a }

// IsTable reports whether a table's name is TableName or the name of one of its parts.
func IsTable(name string) bool { return name == TableName || strings.HasPrefix(name, partPrefix) }

// partTable returns the name of the table with the part of a data centre.
func partTable(dataCentre string) string { return partPrefix + dataCentre }

// Since returns the part of the table's name, or the whole snapshot, for a peer whose copy has the
// given revision, and its age. The change is empty if the peer's copy is not older. The third result
// is false before the first snapshot.
func (c *Cache) Since(table string, after uint64) (platform.TableChange, time.Duration, bool) {
	dataCentre, isPart := strings.CutPrefix(table, partPrefix)
	var change platform.TableChange
	var age time.Duration
	var ok bool
	if isPart {
		change, age, ok = c.partSince(dataCentre, after)
	} else {
		change, age, ok = c.wholeSince(after)
	}
	if change.Whole && c.attachment != nil {
		if data := c.attachment.Attachment(); data != nil {
			change.Written[attachmentKey] = data
		}
	}
	return change, age, ok
}

func (c *Cache) partSince(dataCentre string, after uint64) (platform.TableChange, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.parts[dataCentre]
	if p == nil {
		return platform.TableChange{}, 0, false
	}
	change := platform.TableChange{Version: platform.Version{Revision: p.revision}}
	if p.revision > after {
		change.Whole, change.Written = true, map[string][]byte{dataCentre: p.encoded}
	}
	return change, time.Since(p.madeAt), true
}

// wholeSince returns all parts. They are of one revision unless this VM copies only some.
func (c *Cache) wholeSince(after uint64) (platform.TableChange, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.newest()
	if newest == nil {
		return platform.TableChange{}, 0, false
	}
	change := platform.TableChange{Version: platform.Version{Revision: newest.revision}}
	if newest.revision > after {
		change.Whole, change.Written = true, make(map[string][]byte, len(c.parts)+1)
		for dataCentre, p := range c.parts {
			if p.revision == newest.revision {
				change.Written[dataCentre] = p.encoded
			}
		}
	}
	return change, time.Since(newest.madeAt), true
}

// newest returns the part of the highest revision, nil if there is none. c.mu is held.
func (c *Cache) newest() *part {
	var newest *part
	for _, p := range c.parts {
		if newest == nil || p.revision > newest.revision {
			newest = p
		}
	}
	return newest
}

// Age returns the time since the newest part was made, or since start before the first one.
func (c *Cache) Age(start time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.newest()
	if newest == nil {
		return time.Since(start)
	}
	return time.Since(newest.madeAt)
}

// Down returns the replicas that did not answer when they were last polled, of the parts that this
// VM reads. The holder of the duty reads all.
func (c *Cache) Down() map[incarnation.Key]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	down := map[incarnation.Key]bool{}
	for _, p := range c.parts {
		for k, load := range p.loads {
			if load.Down {
				down[k] = true
			}
		}
	}
	return down
}

// Reported returns the last report of an incarnation of a replica. The second result is false
// if there is none.
func (c *Cache) Reported(k incarnation.Key) (layers.Load, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.parts {
		if load, ok := p.loads[k]; ok {
			return load, !load.Down
		}
	}
	return layers.Load{}, false
}

// Tenure returns the number of the tenure in which the present snapshot was made, 0 before
// the first.
func (c *Cache) Tenure() uint64 { return c.Revision() >> tenureShift }

// Revision returns the highest revision of the parts, 0 before the first.
func (c *Cache) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if newest := c.newest(); newest != nil {
		return newest.revision
	}
	return 0
}

// partRevision returns the revision of a data centre's part, 0 before the first.
func (c *Cache) partRevision(dataCentre string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.parts[dataCentre]; p != nil {
		return p.revision
	}
	return 0
}

// WantAll makes this VM read the parts of all data centres for some time.
func (c *Cache) WantAll() { c.wantedUntil.Store(time.Now().Add(wantedTime).UnixNano()) }

// wantsAll reports whether this VM reads the parts of all data centres.
func (c *Cache) wantsAll() bool { return time.Now().UnixNano() < c.wantedUntil.Load() }

// wanted returns which of the given data centres' parts this VM copies.
func (c *Cache) wanted(dataCentres []string) []string {
	if !c.wantsAll() {
		return []string{c.dataCentre}
	}
	return dataCentres
}

// readWanted reads the parts that this VM needs and has not read.
func (c *Cache) readWanted() {
	if !c.wantsAll() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.parts {
		c.read(p)
	}
}

// publish stores the loads that this VM has collected as the holder of the duty, by data centre.
func (c *Cache) publish(revision uint64, loads map[string]map[incarnation.Key]layers.Load) {
	dropDoubtfulDowns(loads)
	for dataCentre, some := range loads {
		encoded, err := json.Marshal(some)
		if err != nil {
			c.logger.Error("loads not encoded", zap.String("dataCentre", dataCentre), zap.Error(err))
			continue
		}
		c.replace(dataCentre, &part{revision: revision, encoded: encoded, madeAt: time.Now(), loads: some})
	}
}

// dropDoubtfulDowns removes the replicas that are down if they are so many that the VM which polled
// them is more likely cut off.
func dropDoubtfulDowns(loads map[string]map[incarnation.Key]layers.Load) {
	down, all := 0, 0
	for _, some := range loads {
		for _, load := range some {
			if all++; load.Down {
				down++
			}
		}
	}
	if float64(down) <= max(maxDownSmall, maxDownFraction*float64(all)) {
		return
	}
	for _, some := range loads {
		for k, load := range some {
			if load.Down {
				delete(some, k)
			}
		}
	}
}

// Take stores the parts of a peer's snapshot of the given age that are newer, and passes on the
// attachment that came with it.
func (c *Cache) Take(change platform.TableChange, age time.Duration) {
	if !change.Whole {
		return
	}
	if data := change.Written[attachmentKey]; c.attachment != nil && data != nil {
		c.attachment.Learn(data, 0)
	}
	for dataCentre, encoded := range change.Written {
		if dataCentre != attachmentKey {
			c.replace(dataCentre, &part{revision: change.Revision, encoded: encoded, madeAt: time.Now().Add(-age)})
		}
	}
}

// replace stores a part if its revision is newer, and reads it if this VM needs it.
func (c *Cache) replace(dataCentre string, next *part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.parts[dataCentre]; now != nil && next.revision <= now.revision {
		return
	}
	c.parts[dataCentre] = next
	if next.loads != nil || dataCentre == c.dataCentre || c.wantsAll() {
		c.read(next)
	}
}

// read decodes a part, unless that was done, and calls onChange with its loads. c.mu is held.
func (c *Cache) read(p *part) {
	if p.wasRead {
		return
	}
	if err := p.decode(); err != nil {
		c.logger.Warn("loads not read", zap.Error(err))
		return
	}
	p.wasRead = true
	c.onChange(p.loads)
}
