package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// PoolDump is the state of one pool.
type PoolDump struct {
	// Stuck reports that the pool's lock could not be acquired, most likely because a
	// try function does not return. All other fields are zero then.
	Stuck  bool                 `json:"stuck,omitempty"`
	Queued int                  `json:"queued"`
	Levels map[string]LevelDump `json:"levels"`
	Counts counts               `json:"counts"`
}

// dumpAttempts and dumpPause limit how long a dump tries to lock a pool.
const (
	dumpAttempts = 50
	dumpPause    = 2 * time.Millisecond
)

func (p *pool) dump() PoolDump {
	if !p.tryLock() {
		return PoolDump{Stuck: true}
	}
	defer p.release()
	now := time.Now()
	dump := PoolDump{Queued: p.queued, Levels: map[string]LevelDump{}, Counts: p.counts}
	for urgency, l := range p.levels {
		dump.Levels[config.Urgency(urgency).String()] = l.dump(now)
	}
	return dump
}

// tryLock tries to lock the pool for a short time and reports whether it did.
func (p *pool) tryLock() bool {
	for range dumpAttempts {
		if p.mu.TryLock() {
			return true
		}
		time.Sleep(dumpPause)
	}
	return false
}
