package loads

import (
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform"
)

// TableName is the name of the snapshot among the tables that VMs copy from each other.
const TableName = "loads"

const (
	// maxDownFraction is the fraction of all replicas that may be marked as down at once. If
	// more do not answer, the VM that polls is more likely cut off from a data centre, which
	// has a third or a quarter of them.
	maxDownFraction = 0.3
	// maxDownSmall replicas may be marked as down however few replicas there are.
	maxDownSmall = 2
)

// rowKey is the key of the snapshot's only row. All loads change each second, so a row for
// each replica would save nothing.
const rowKey = "all"

// attachmentKey is the key of the data that is sent with each snapshot.
const attachmentKey = "attached"

// Attachment is data of another package that is sent with each copy of the snapshot.
type Attachment interface {
	// Attachment returns this VM's encoded data, nil if there is none.
	Attachment() []byte
	// Learn applies a peer's encoded data of the given age.
	Learn(data []byte, age time.Duration)
}

// Cache holds this VM's copy of the newest snapshot of the replicas' loads. It is safe for
// concurrent use.
type Cache struct {
	onChange   func(map[incarnation.Key]layers.Load)
	logger     *zap.Logger
	attachment Attachment

	mu       sync.Mutex // guards the fields below
	revision uint64
	encoded  []byte
	madeAt   time.Time
	loads    map[incarnation.Key]layers.Load
	down     map[incarnation.Key]bool
}

// NewCache returns an empty cache. The cache calls onChange with the loads of each newer
// snapshot, while it holds its lock.
func NewCache(onChange func(map[incarnation.Key]layers.Load), logger *zap.Logger) *Cache {
	return &Cache{onChange: onChange, logger: logger}
}

// Attach sets the data that is sent with each snapshot. It must be called before the cache is
// used.
func (c *Cache) Attach(a Attachment) { c.attachment = a }

// Since returns the snapshot for a peer whose copy has the given revision, and the snapshot's
// age. The change is empty if the peer's copy is not older. The third result is false before
// the first snapshot.
func (c *Cache) Since(after uint64) (platform.TableChange, time.Duration, bool) {
	c.mu.Lock()
	change, age, ok := platform.TableChange{Revision: c.revision}, time.Since(c.madeAt), c.encoded != nil
	if c.revision > after {
		change.Whole, change.Written = true, map[string][]byte{rowKey: c.encoded}
	}
	c.mu.Unlock()
	if change.Whole && c.attachment != nil {
		if data := c.attachment.Attachment(); data != nil {
			change.Written[attachmentKey] = data
		}
	}
	return change, age, ok
}

// Age returns the time since the snapshot was made, or since start before the first one.
func (c *Cache) Age(start time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded == nil {
		return time.Since(start)
	}
	return time.Since(c.madeAt)
}

// Down returns the replicas that did not answer when they were last polled. It is empty if
// many did not, because then the VM that polled them is more likely cut off. The caller must
// not modify it.
func (c *Cache) Down() map[incarnation.Key]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// Reported returns the last report of an incarnation of a replica. The second result is false
// if there is none.
func (c *Cache) Reported(k incarnation.Key) (layers.Load, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	load, ok := c.loads[k]
	return load, ok && !load.Down
}

// downReplicas returns the replicas that are to be treated as down.
func downReplicas(loads map[incarnation.Key]layers.Load) map[incarnation.Key]bool {
	down := map[incarnation.Key]bool{}
	for k, load := range loads {
		if load.Down {
			down[k] = true
		}
	}
	if float64(len(down)) > max(maxDownSmall, maxDownFraction*float64(len(loads))) {
		return nil
	}
	return down
}

// Tenure returns the number of the tenure in which the present snapshot was made, 0 before
// the first.
func (c *Cache) Tenure() uint64 { return c.Revision() >> tenureShift }

// Revision returns the revision of the present snapshot, 0 before the first.
func (c *Cache) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// publish stores the loads that this VM has collected as the holder of the duty.
func (c *Cache) publish(revision uint64, loads map[incarnation.Key]layers.Load) {
	encoded, err := json.Marshal(loads)
	if err != nil {
		c.logger.Error("loads not encoded", zap.Error(err))
		return
	}
	c.replace(revision, encoded, time.Now(), loads)
}

// Take stores a peer's snapshot of the given age if it is newer, and passes on the attachment
// that came with it.
func (c *Cache) Take(change platform.TableChange, age time.Duration) {
	if !change.Whole {
		return
	}
	if data := change.Written[attachmentKey]; c.attachment != nil && data != nil {
		c.attachment.Learn(data, 0)
	}
	var loads map[incarnation.Key]layers.Load
	if err := json.Unmarshal(change.Written[rowKey], &loads); err != nil {
		c.logger.Warn("loads not read", zap.Error(err))
		return
	}
	c.replace(change.Revision, change.Written[rowKey], time.Now().Add(-age), loads)
}

// replace stores a snapshot if its revision is newer, and calls onChange.
func (c *Cache) replace(revision uint64, encoded []byte, madeAt time.Time, loads map[incarnation.Key]layers.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return
	}
	c.revision, c.encoded, c.madeAt = revision, encoded, madeAt
	c.down = downReplicas(loads)
	for k, load := range loads {
		load.At = madeAt
		loads[k] = load
		if load.Down && !c.down[k] {
			delete(loads, k)
		}
	}
	c.loads = loads
	c.onChange(loads)
}
