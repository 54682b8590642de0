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
	// DefaultProposeTimeout bounds a proposal with all its attempts.
	DefaultProposeTimeout = 5 * time.Second
	// DefaultResolveTimeout bounds the reading back after the caller has gone.
	DefaultResolveTimeout = 2 * time.Second
	// DefaultRecentChanges is how many changes are kept in memory for peers.
	DefaultRecentChanges = 1024
	// DefaultRecentBytes bounds the memory of those changes.
	DefaultRecentBytes = 2 << 20
	// DefaultRetainChanges is how many rows before the snapshot stay in the table.
	DefaultRetainChanges = 512
	// DefaultCompactAfter is how many changes make a new snapshot worth its write.
	DefaultCompactAfter = 256
)

// MaxValueBytes bounds one entity as JSON.
const MaxValueBytes = 64 << 10

// Options set up a Store. Zero durations and counts take the defaults.
type Options struct {
	Table   platform.Table
	Objects platform.Objects
	// VM is this VM's name.
	VM         string
	Invariants *invariant.Registry
	Logger     *zap.Logger

	ProposeTimeout time.Duration
	ResolveTimeout  time.Duration
	RecentChanges  int
	RecentBytes    int
	RetainChanges  uint64
	CompactAfter   uint64
}

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
