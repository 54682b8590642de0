package layers

import (
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// reportLag is the largest age of a report relative to the snapshot of loads that contains
// it: the time to poll all replicas, and the few hundred milliseconds by which replicas
// state that their reports lag.
const reportLag = time.Second

// downMaxAge is how long a replica is avoided after a snapshot shows it as down. Later
// snapshots, one a second, renew it.
const downMaxAge = 3 * time.Second

// loadMaxAge is how long a reported load is used. Snapshots are made each second and take
// one or two more to reach every VM.
const loadMaxAge = 4 * time.Second

// Load is what a replica reports of itself.
type Load struct {
	// Used and Total are its memory for requests, in tokens times layers.
	Used  float64 `json:"u"`
	Total float64 `json:"t"`
	// Pace is the replica's step time relative to its kind of card; above 1 it is slower.
	Pace float64 `json:"p"`
	// Streams is how many requests run or wait at the replica, whether their paths begin here or
	// pass through.
	Streams int `json:"n,omitempty"`
	// Queued is how many of them wait.
	Queued int `json:"q,omitempty"`
	// Sequence is how many orders the incarnation has begun.
	Sequence uint64 `json:"s,omitempty"`
	// Held is the range of layers that the replica has loaded.
	Held config.LayerRange `json:"h"`
	// Born is the start of the incarnation that reported; see incarnation.BornMissing. It is
	// not encoded because the keys of a snapshot contain it.
	Born int64 `json:"-"`
	// Down means that the replica did not answer.
	Down bool `json:"d,omitempty"`
	// At is the earliest time at which this VM could know the report.
	At time.Time `json:"-"`
}

// plausible reports whether the load can be true. One that is not would open a full replica.
func (l Load) plausible(now time.Time) bool {
	return l.Used >= 0 && l.Streams >= 0 && l.Queued >= 0 && !l.At.After(now)
}

// SetLoads applies the load reports of replicas. A report of an incarnation that is not
// listed, no longer or not yet, says nothing of the one that is listed and is dropped.
func (t *Table) SetLoads(loads map[incarnation.Key]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, load := range loads {
		s := t.replicas[k]
		if s == nil || !load.plausible(time.Now()) {
			continue
		}
		if load.Down {
			s.downUntil = load.At.Add(downMaxAge)
			continue
		}
		s.downUntil = time.Time{}
		s.applyReportedRange(t.spec, load)
		s.load, s.reservedAtReport, s.entryRequestsAtReport = load, s.reserved, s.entryRequests
		s.useAtReport = s.history.at(load.At.Add(-meanReportLag))
		s.entryFraction.observe(s.entryRequests, s.streams)
		if load.Pace > 0 {
			s.pace, s.paceAt = load.Pace, load.At
		}
	}
	t.updateDemands(time.Now())
}
