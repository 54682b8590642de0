package peer

import (
	"encoding/json"
	"sync"
	"time"

	"geraniumcroft/internal/config"
)

const snapshotKept = 30 * time.Second

// snapshotCache keeps the newest encoded snapshot for a while, so that a fleet
// that joins at once does not have it encoded for each VM.
type snapshotCache struct {
	mu      sync.Mutex // guards the fields below
	version uint64
	encoded []byte
	at      time.Time
}

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
	c.version, c.encoded, c.at = s.Version, encoded, time.Now()
	return encoded, nil
}

// trim frees a snapshot that nobody asked for lately.
func (c *snapshotCache) trim(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil && now.Sub(c.at) > snapshotKept {
		c.encoded = nil
	}
}
