package admission

import (
	"time"

	"geraniumcroft/internal/config"
)

// Dump is the controller's state.
type Dump struct {
	Pools      map[string]PoolDump `json:"pools"`
	Workspaces map[string]int      `json:"workspacesInFlight"`
	Profiles   map[string]int      `json:"profilesInFlight"`
}

// PoolDump is one pool's state.
type PoolDump struct {
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

// Dump returns the state of all pools. It takes each pool's lock for a moment
// and waits for no request, so it answers while the queues are full.
func (c *Controller) Dump() any {
	dump := Dump{Pools: map[string]PoolDump{}}
	c.pools.Range(func(name, found any) bool {
		dump.Pools[name.(string)] = found.(*pool).dump()
		return true
	})
	dump.Workspaces = c.workspaces.snapshot()
	dump.Profiles = c.profiles.snapshot()
	return dump
}

func (p *pool) dump() PoolDump {
	p.mu.Lock()
	defer p.mu.Unlock()
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
