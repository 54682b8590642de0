package layers

import (
	"time"

	"geraniumcroft/internal/incarnation"
)

const (
	// prefillShare is the fraction of its time that a replica has for prefill while it also
	// decodes tokens for other requests.
	prefillShare = 0.4
	// minPrefill is the least prefill time that is assumed for one stream.
	minPrefill = 100 * time.Microsecond
)

// DetourCapacity describes whether the streams through stopped stages can be moved to other
// replicas nearby.
type DetourCapacity struct {
	// MovableFraction is the fraction of these streams whose tokens the replicas can read
	// within the given time, 1 for all.
	MovableFraction float64
	// Holders are the replicas to which they would be moved.
	Holders []incarnation.Key
}

// DetourCapacity estimates how many of the streams through the stopped stages can be moved
// to other holders in the same data centre within a time. All VMs move their streams at
// once, and a replica reads them one after another. Written is as in Detour. Ok is false
// if there is no such detour.
func (r *Reservation) DetourCapacity(stopped []string, written int, within time.Duration) (capacity DetourCapacity, ok bool) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	capacity.MovableFraction = 1
	err := r.eachReplacement(stopped, written, true, now, func(p detourPart) {
		streams := t.streamsThrough(r.path[p.replaced.from:p.replaced.to], now)
		query := p.query
		for _, stage := range p.stages {
			capacity.Holders = append(capacity.Holders, stage.Replica.Key())
			capacity.MovableFraction = min(capacity.MovableFraction, t.prefillCapacity(stage, query, within, now)/streams)
			query = query.excluding(stage.Replica.Key())
		}
	})
	if err != nil {
		return DetourCapacity{}, false
	}
	return capacity, true
}

// streamsThrough estimates how many streams of all VMs pass through some stages, by the
// fullest of them; it returns at least 1. t.mu is held.
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

// prefillCapacity returns how many moved streams the holders of a stage's layers in its data
// centre can read within a time. It assumes that the holders are like the stage's replica
// and the streams like the query. t.mu is held.
func (t *Table) prefillCapacity(stage Stage, query Query, within time.Duration, now time.Time) float64 {
	s := t.replicas[stage.Replica.Key()]
	if s == nil {
		return 0
	}
	near := search{table: t, query: query, now: now, from: stage.Layers.From, to: stage.Layers.To, onlyDC: s.DataCentre}
	similar := 0
	for _, other := range t.replicas {
		if near.admits(other) && other.Held.Contains(stage.Layers) {
			similar++
		}
	}
	each := t.spec.prefillTime(s.kind, float64(query.Prompt), stage.Layers.Len()) * s.slowdown(now)
	return float64(max(1, similar)) * prefillShare * within.Seconds() / max(each, minPrefill.Seconds())
}
