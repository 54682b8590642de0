package layers

import (
	"time"

	"geraniumcroft/internal/incarnation"
)

const (
	// prefillShare is the part of its time that a replica has for reading beside the tokens that it
	// writes for other requests.
	prefillShare = 0.4
	// minPrefill bounds the time of reading one stream from below.
	minPrefill = 100 * time.Microsecond
)

// DetourCapacity is what comes to the replicas that nearby streams would be moved to when some stages stop.
type DetourCapacity struct {
	// MovableFraction is the part of these streams that the replicas can read within the time asked for, 1
	// for all.
	MovableFraction float64
	// Holders are the replicas.
	Holders []incarnation.Key
}

// DetourCapacity tells how many of the streams that had the stopped stages on their paths can be moved to
// other holders in the same data centre within a time. All VMs move theirs in the same moment, and
// a replica reads one after the other. Ok is false if no detour nearby is possible.
func (r *Reservation) DetourCapacity(stopped []string, written int, within time.Duration) (crowd DetourCapacity, ok bool) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	crowd.MovableFraction = 1
	err := r.eachReplacement(stopped, written, true, now, func(p detourPart) {
		streams := t.streamsThrough(r.path[p.replaced.from:p.replaced.to], now)
		need := p.query
		for _, stage := range p.stages {
			crowd.Holders = append(crowd.Holders, stage.Replica.Key())
			crowd.MovableFraction = min(crowd.MovableFraction, t.prefillCapacity(stage, need, within, now)/streams)
			need = need.excluding(stage.Replica.Key())
		}
	})
	if err != nil {
		return DetourCapacity{}, false
	}
	return crowd, true
}

// streamsThrough estimates how many streams of all VMs pass through some stages, by the fullest of
// them; at least one. The table is locked.
func (t *Table) streamsThrough(stages []Stage, now time.Time) float64 {
	most := 1.0
	for _, stage := range stages {
		s := t.replicas[stage.Replica.Key()]
		if s == nil {
			continue
		}
		held := s.reserved / t.vmCounts.share(s.DataCentre)
		if s.hasFreshLoad(now) {
			held = s.load.Used
		}
		most = max(most, held/(t.spec.meanTokens()*float64(max(1, stage.Layers.Len()))))
	}
	return most
}

// prefillCapacity is how many moved streams the holders of a stage's layers in its data centre can read
// within a time, taken to be like the one that was found. The table is locked.
func (t *Table) prefillCapacity(stage Stage, need Query, within time.Duration, now time.Time) float64 {
	s := t.replicas[stage.Replica.Key()]
	if s == nil {
		return 0
	}
	near := search{table: t, query: need, now: now, from: stage.Layers.From, to: stage.Layers.To, onlyDC: s.DataCentre}
	alike := 0
	for _, other := range t.replicas {
		if near.admits(other) && other.Held.Contains(stage.Layers) {
			alike++
		}
	}
	each := t.spec.prefillTime(s.kind, float64(need.Prompt), stage.Layers.Len()) * s.slowdown(now)
	return float64(max(1, alike)) * prefillShare * within.Seconds() / max(each, minPrefill.Seconds())
}
