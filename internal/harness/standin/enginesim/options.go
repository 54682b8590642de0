package enginesim

import (
	"cmp"
	"time"

	"geraniumcroft/internal/config"
)

// Options describe an Engine. A zero field takes its default.
type Options struct {
	// Name is the target's name, as it stands in hops and traces.
	Name     string
	Model    *config.Model
	Version  string
	Adapters []string
	Layers   config.LayerRange
	Role     string
	Slots    int
	// LayerTokensPerSecond is the accelerator's rate in layers times tokens.
	LayerTokensPerSecond float64
	// PrefillFactor is how much faster a prompt's token passes than a generated one.
	PrefillFactor float64
	// TokenLatency is what one token takes in a stage besides its share of the rate.
	TokenLatency time.Duration
	// Heartbeat is the longest quiet time of a stream.
	Heartbeat time.Duration
	// Fabric connects the stages; nil takes one that all such engines share.
	Fabric *Fabric
	// KeepKVFor is how long the KV cache of a cancelled request is kept.
	KeepKVFor time.Duration
	// KVBytesPerToken is the size of one token's KV cache in one layer.
	KVBytesPerToken int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// CacheEventLag and LoadLag delay what the engine publishes.
	CacheEventLag time.Duration
	LoadLag       time.Duration
	// LoadTime is how long an order takes to load.
	LoadTime time.Duration
	// IgnoresFencing makes the engine obey orders with an old fencing number.
	IgnoresFencing bool
}

// The defaults of Options.
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
