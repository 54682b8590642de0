package enginesim

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"geraniumcroft/internal/engine"
)

const maxCacheLog = 4096

// prefixCache holds the hashes of cached prefixes and the log of its changes.
// Its engine's lock guards it.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	log    []loggedEvent
	seq    uint64
	now    time.Time
}

func newPrefixCache(size int) *prefixCache {
	c := &prefixCache{}
	c.blocks, _ = simplelru.NewLRU(size, func(prefix uint64, _ struct{}) { c.note(prefix, true) })
	return c
}

// use returns how many of the leading blocks are cached, and marks them as used.
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
		c.note(hash, false)
		c.blocks.Add(hash, struct{}{})
	}
}

func (c *prefixCache) note(prefix uint64, evict bool) {
	c.seq++
	if len(c.log) == maxCacheLog {
		c.log = c.log[1:]
	}
	c.log = append(c.log, loggedEvent{engine.CacheEvent{Seq: c.seq, Prefix: prefix, Evict: evict}, c.now})
}

// events returns the events above after that are older than the lag.
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

// drop takes the newest events out of the log, so that their readers see a gap.
func (c *prefixCache) drop(count int) {
	c.log = c.log[:len(c.log)-min(count, len(c.log))]
}
