package enginesim

import (
	"cmp"
	"time"

	"geraniumcroft/internal/config"
)

// Options configure an Engine. A zero field takes its default, if it has one.
type Options struct {
	// Name is the name of the target, as used in hops and traces.
	Name     string
	Model    *config.Model
	Version  string
	Adapters []string
	Layers   config.LayerRange
	Role     string
	Slots    int
	// LayerTokensPerSecond is the rate of the accelerator: layers times tokens per
	// second.
	LayerTokensPerSecond float64
	// PrefillFactor is the factor by which a token of a prompt is processed faster
	// than a generated one.
	PrefillFactor float64
	// TokenLatency is the time that a token takes in a stage in addition to its
	// computation.
	TokenLatency time.Duration
	// Heartbeat is the time without an event after which a stream sends a heartbeat.
	Heartbeat time.Duration
	// Fabric connects the stages. Engines without one share a default fabric.
	Fabric *Fabric
	// KeepKVFor is how long the KV cache of a cancelled request is kept.
	KeepKVFor time.Duration
	// KVBytesPerToken is the size of one token's KV cache in one layer.
	KVBytesPerToken int
	// CacheBlocks is the maximum number of blocks in the prefix cache.
	CacheBlocks int
	// CacheEventLag and LoadLag delay the published cache events and load reports.
	CacheEventLag time.Duration
	LoadLag       time.Duration
	// LoadTime is the time that it takes to load the weights that an order names.
	LoadTime time.Duration
	// IgnoresFencing makes the engine carry out orders with an old fencing number.
	IgnoresFencing bool
}

// The default values of Options. DefaultLayerRate is that of LayerTokensPerSecond and
// DefaultKVBytes, in bytes, that of KVBytesPerToken.
const (
	DefaultSlots         = 16
	DefaultLayerRate     = 4000.0
	DefaultPrefillFactor = 16.0
	DefaultHeartbeat     = 200 * time.Millisecond
	DefaultKeepKVFor     = 10 * time.Second
	DefaultKVBytes       = 4 << 10
	DefaultCacheBlocks   = 1024
)

var sharedFabric = NewFabric(nil)

func (o Options) withDefaults() Options {
	o.Slots = cmp.Or(o.Slots, DefaultSlots)
	o.LayerTokensPerSecond = cmp.Or(o.LayerTokensPerSecond, DefaultLayerRate)
	o.PrefillFactor = cmp.Or(o.PrefillFactor, DefaultPrefillFactor)
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.KeepKVFor = cmp.Or(o.KeepKVFor, DefaultKeepKVFor)
	o.KVBytesPerToken = cmp.Or(o.KVBytesPerToken, DefaultKVBytes)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, DefaultCacheBlocks)
	o.Fabric = cmp.Or(o.Fabric, sharedFabric)
	return o
}
