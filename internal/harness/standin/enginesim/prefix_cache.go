package enginesim

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"geraniumcroft/internal/engine"
)

const maxCacheLog = 4096

// prefixCache holds the hashes of cached prefixes and a log of changes. It is guarded
// by the engine's lock.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	log    []loggedEvent
	seq    uint64
	now    time.Time
}

func newPrefixCache(size int) *prefixCache {
	c := &prefixCache{}
	c.blocks, _ = simplelru.NewLRU(size, func(prefix uint64, _ struct{}) { c.record(prefix, true) })
	return c
}

// use returns the number of leading blocks that are cached, and marks them as
// recently used.
func (c *prefixCache) use(hashes []uint64) int {
	for i, hash := range hashes {
		if _, ok := c.blocks.Get(hash); !ok {
			return i
		}
	}
	return len(hashes)
}

func (c *prefixCache) put(hashes []uint64, now time.Time) {
	c.now = now
	for _, hash := range hashes {
		if _, ok := c.blocks.Get(hash); ok {
			continue
		}
		c.record(hash, false)
		c.blocks.Add(hash, struct{}{})
	}
}

func (c *prefixCache) record(prefix uint64, evict bool) {
	c.seq++
	if len(c.log) == maxCacheLog {
		c.log = c.log[1:]
	}
	c.log = append(c.log, loggedEvent{engine.CacheEvent{Seq: c.seq, Prefix: prefix, Evict: evict}, c.now})
}

// events returns the events with sequence numbers above after that are not newer than
// before. It reports a gap if one of them is missing from the log.
func (c *prefixCache) events(after uint64, before time.Time) engine.CacheEvents {
	found := engine.CacheEvents{Events: []engine.CacheEvent{}}
	expected := after + 1
	for _, logged := range c.log {
		if logged.event.Seq <= after {
			continue
		}
		if logged.at.After(before) {
			break
		}
		if logged.event.Seq != expected {
			found.Gap = true
		}
		expected = logged.event.Seq + 1
		found.Events = append(found.Events, logged.event)
	}
	return found
}

// drop removes the newest events from the log, so that readers see a gap.
func (c *prefixCache) drop(count int) {
	c.log = c.log[:len(c.log)-min(count, len(c.log))]
}
