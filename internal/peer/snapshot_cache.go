package peer

import (
	"encoding/json"
	"sync"
	"time"

	"geraniumcroft/internal/config"
)

// snapshotTTL is how long an encoded snapshot is cached.
const snapshotTTL = 30 * time.Second

// snapshotCache caches the newest encoded snapshot, so that it is not encoded for each VM when a
// whole fleet joins at once. It is safe for concurrent use.
type snapshotCache struct {
	mu        sync.Mutex // guards the fields below
	version   uint64
	encoded   []byte
	encodedAt time.Time
}

// encode returns the snapshot as JSON. The caller must not modify the result.
func (c *snapshotCache) encode(s *config.Snapshot) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil && c.version == s.Version {
		return c.encoded, nil
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	c.version, c.encoded, c.encodedAt = s.Version, encoded, time.Now()
	return encoded, nil
}

// evictExpired frees the encoded snapshot once it is older than snapshotTTL.
func (c *snapshotCache) evictExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil && now.Sub(c.encodedAt) > snapshotTTL {
		c.encoded = nil
	}
}
