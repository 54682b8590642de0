package admission

import "time"

// LevelDump is the state of one urgency level of a pool.
type LevelDump struct {
	Queued     int           `json:"queued"`
	Cost       float64       `json:"cost"`
	Workspaces int           `json:"workspaces"`
	OldestWait time.Duration `json:"oldestWaitNanoseconds"`
	Drain      time.Duration `json:"drainNanoseconds"`
}

func (l *level) dump(now time.Time) LevelDump {
	dump := LevelDump{Queued: l.length, Cost: l.cost, Workspaces: len(l.waiting)}
	if l.length > 0 {
		dump.Drain = l.meter.wait(now, l.cost)
	}
	if oldest := l.arrivals.first; oldest != nil {
		dump.OldestWait = now.Sub(oldest.queuedAt)
	}
	return dump
}
