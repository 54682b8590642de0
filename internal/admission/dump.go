package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// Dump is the controller's state.
type Dump struct {
	Pools map[string]PoolDump `json:"pools"`
}

// PoolDump is one pool's state.
type PoolDump struct {
	// Stuck says that the pool's lock was not to be had, so nothing more is known:
	// a try function does not return.
	Stuck  bool                 `json:"stuck,omitempty"`
	Queued int                  `json:"queued"`
	Levels map[string]LevelDump `json:"levels"`
	Counts counts               `json:"counts"`
}

// LevelDump is the state of one level of a pool.
type LevelDump struct {
	Queued     int           `json:"queued"`
	Cost       float64       `json:"cost"`
	Workspaces int           `json:"workspaces"`
	OldestWait time.Duration `json:"oldestWaitNanoseconds"`
	Drain      time.Duration `json:"drainNanoseconds"`
}

// dumpAttempts and dumpPause bound how long a dump tries to lock a pool.
const (
	dumpAttempts = 50
	dumpPause    = 2 * time.Millisecond
)

// Dump returns the state of all pools. It waits for no request and for no lock
// longer than a moment, so it answers while queues are full and a pool is stuck.
func (c *Controller) Dump() any {
	dump := Dump{Pools: map[string]PoolDump{}}
	c.pools.Range(func(name, found any) bool {
		dump.Pools[name.(string)] = found.(*pool).dump()
		return true
	})
	return dump
}

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

func (l *level) dump(now time.Time) LevelDump {
	dump := LevelDump{Queued: l.length, Cost: l.cost, Workspaces: len(l.waiting)}
	if l.length > 0 {
		dump.Drain = l.meter.wait(now, l.cost)
	}
	if l.oldest != nil {
		dump.OldestWait = now.Sub(l.oldest.queuedAt)
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
