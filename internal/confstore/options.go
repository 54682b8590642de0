package confstore

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform"
)

// The defaults of Options.
const (
	// DefaultProposeTimeout bounds a proposal including all its attempts.
	DefaultProposeTimeout = 5 * time.Second
	// DefaultResolveTimeout bounds the time for resolving a lost response after the
	// proposal has timed out or its caller has disconnected.
	DefaultResolveTimeout = 2 * time.Second
	// DefaultRecentChanges is the number of changes that are kept in memory for peers.
	DefaultRecentChanges = 1024
	// DefaultRecentBytes bounds the memory of those changes, in bytes.
	DefaultRecentBytes = 2 << 20
	// DefaultRetainChanges is the number of changes up to the snapshot's version whose
	// rows are retained in the table.
	DefaultRetainChanges = 512
	// DefaultCompactAfter is the number of changes after which a new snapshot is written.
	DefaultCompactAfter = 256
)

// MaxValueBytes is the maximum size of an entity as JSON.
const MaxValueBytes = 64 << 10

// Options configures a Store. Durations and counts that are zero take their defaults.
type Options struct {
	Table   platform.Table
	Objects platform.Objects
	// VM is this VM's name.
	VM         string
	Invariants *invariant.Registry
	Logger     *zap.Logger

	ProposeTimeout time.Duration
	ResolveTimeout time.Duration
	RecentChanges  int
	RecentBytes    int
	RetainChanges  uint64
	CompactAfter   uint64
}

// withDefaults returns the options with their defaults filled in.
func (o Options) withDefaults() Options {
	o.ProposeTimeout = cmp.Or(o.ProposeTimeout, DefaultProposeTimeout)
	o.ResolveTimeout = cmp.Or(o.ResolveTimeout, DefaultResolveTimeout)
	o.RecentChanges = cmp.Or(o.RecentChanges, DefaultRecentChanges)
	o.RecentBytes = cmp.Or(o.RecentBytes, DefaultRecentBytes)
	o.RetainChanges = cmp.Or(o.RetainChanges, DefaultRetainChanges)
	o.CompactAfter = cmp.Or(o.CompactAfter, DefaultCompactAfter)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}
