package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// PoolDump is one pool's state.
type PoolDump struct {
	// Stuck says that the pool's lock was not to be had, so nothing more is known:
	// a try function does not return.
	Stuck  bool                 `json:"stuck,omitempty"`
	Queued int                  `json:"queued"`
	Levels map[string]LevelDump `json:"levels"`
	Counts counts               `json:"counts"`
}

// dumpAttempts and dumpPause bound how long a dump tries to lock a pool.
const (
	dumpAttempts = 50
	dumpPause    = 2 * time.Millisecond
)

func (p *pool) dump() PoolDump {
	if !p.lockSoon() {
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

func (p *pool) lockSoon() bool {
	for range dumpAttempts {
		if p.mu.TryLock() {
			return true
		}
		time.Sleep(dumpPause)
	}
	return false
}
