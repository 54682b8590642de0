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

// TableName names the board among the tables that peers copy from each other.
const TableName = "loads"

const (
	// mostDown is the part of all replicas that may be taken for dead at once. Where more
	// do not answer, the VM that asks is more likely cut off from a data centre, which has
	// a third of them or a quarter.
	mostDown = 0.3
	// fewDown may be in any case, however few replicas there are.
	fewDown = 2
)

// boardKey is the key of the board's only row. All loads change each second, so there is
// nothing to gain from rows of their own.
const boardKey = "all"

// attachedKey is the key of what goes along with each copy of the board.
const attachedKey = "attached"

// Attachment is news that goes along with each copy of the board.
type Attachment interface {
	// Attachment returns what this VM knows, nil if there is nothing.
	Attachment() []byte
	// Learn takes what a peer knew, of the given age.
	Learn(news []byte, age time.Duration)
}

// Cache is this VM's copy of the replicas' loads.
type Cache struct {
	onChange func(map[incarnation.Key]layers.Load)
	logger   *zap.Logger
	attached Attachment

	mu       sync.Mutex // guards the fields below
	revision uint64
	row      []byte
	at       time.Time
	loads    map[incarnation.Key]layers.Load
	down     map[incarnation.Key]bool
}

// NewCache returns an empty board; each newer one goes to onChange.
func NewCache(onChange func(map[incarnation.Key]layers.Load), logger *zap.Logger) *Cache {
	return &Cache{onChange: onChange, logger: logger}
}

// Attach sets what goes along with the board. It is called before the board is used.
func (b *Cache) Attach(a Attachment) { b.attached = a }

// Since returns the board for a peer whose copy has a revision, and the board's age.
// There is none before the first.
func (b *Cache) Since(after uint64) (platform.TableChange, time.Duration, bool) {
	b.mu.Lock()
	change, age, ok := platform.TableChange{Revision: b.revision}, time.Since(b.at), b.row != nil
	if b.revision > after {
		change.Whole, change.Written = true, map[string][]byte{boardKey: b.row}
	}
	b.mu.Unlock()
	if change.Whole && b.attached != nil {
		if news := b.attached.Attachment(); news != nil {
			change.Written[attachedKey] = news
		}
	}
	return change, age, ok
}

// Age is the time since the board was made, or since start before the first one.
func (b *Cache) Age(start time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.row == nil {
		return time.Since(start)
	}
	return time.Since(b.at)
}

// Down returns the replicas that did not answer when they were last asked. There are none
// if many did not: then it is this VM's view that is broken.
func (b *Cache) Down() map[incarnation.Key]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.down
}

// Reported returns what an incarnation of a replica last reported, if it did.
func (b *Cache) Reported(k incarnation.Key) (layers.Load, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	load, ok := b.loads[k]
	return load, ok && !load.Down
}

// downOf returns the replicas that are to be taken for dead.
func downOf(loads map[incarnation.Key]layers.Load) map[incarnation.Key]bool {
	down := map[incarnation.Key]bool{}
	for k, load := range loads {
		if load.Down {
			down[k] = true
		}
	}
	if float64(len(down)) > max(fewDown, mostDown*float64(len(loads))) {
		return nil
	}
	return down
}

// Tenure is the number of the tenure in which the present board was made, 0 before the
// first.
func (b *Cache) Tenure() uint64 { return b.Revision() >> tenureShift }

// Revision is that of the present board, 0 before the first.
func (b *Cache) Revision() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision
}

// publish puts up what this VM has learned as the holder of the duty.
func (b *Cache) publish(revision uint64, loads map[incarnation.Key]layers.Load) {
	row, err := json.Marshal(loads)
	if err != nil {
		b.logger.Error("loads not encoded", zap.Error(err))
		return
	}
	b.put(revision, row, time.Now(), loads)
}

// Take copies a peer's board, which has the given age, if it is newer.
func (b *Cache) Take(change platform.TableChange, age time.Duration) {
	if !change.Whole {
		return
	}
	if news := change.Written[attachedKey]; b.attached != nil && news != nil {
		b.attached.Learn(news, 0)
	}
	var loads map[incarnation.Key]layers.Load
	if err := json.Unmarshal(change.Written[boardKey], &loads); err != nil {
		b.logger.Warn("loads not read", zap.Error(err))
		return
	}
	b.put(change.Revision, change.Written[boardKey], time.Now().Add(-age), loads)
}

func (b *Cache) put(revision uint64, row []byte, at time.Time, loads map[incarnation.Key]layers.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision <= b.revision {
		return
	}
	b.revision, b.row, b.at = revision, row, at
	b.down = downOf(loads)
	for k, load := range loads {
		load.At = at
		loads[k] = load
		if load.Down && !b.down[k] {
			delete(loads, k)
		}
	}
	b.loads = loads
	b.onChange(loads)
}
