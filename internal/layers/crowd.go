package layers

import (
	"time"

	"geraniumcroft/internal/incarnation"
)

// readShare is the part of its time that a replica has for reading beside the tokens that it
// writes for other requests.
const readShare = 0.4

// Crowd is what comes to the replicas that nearby streams would be moved to when some stages stop.
type Crowd struct {
	// InTime is the part of these streams that the replicas can read within the time asked for, 1
	// for all.
	InTime float64
	// Holders are the replicas.
	Holders []incarnation.Key
}

// Crowd tells how many of the streams that had the stopped stages on their paths can be moved to
// other holders in the same data centre within a time. All VMs move theirs in the same moment, and
// a replica reads one after the other. Ok is false if no detour nearby is possible.
func (r *Reservation) Crowd(stopped []string, written int, within time.Duration) (crowd Crowd, ok bool) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	spans := r.path.spans(stopped)
	if r.released || len(spans) == 0 || spans[0].from == 0 {
		return Crowd{}, false
	}
	need, now := r.detourNeed(stopped, written), time.Now()
	crowd.InTime = 1
	for _, at := range spans {
		part, err := t.replacement(r.path, at, need, true, now)
		if err != nil {
			return Crowd{}, false
		}
		streams := t.streamsThrough(r.path[at.from:at.to], now)
		for _, stage := range part {
			need.Avoid[stage.Replica.Key()] = true
			crowd.Holders = append(crowd.Holders, stage.Replica.Key())
			crowd.InTime = min(crowd.InTime, t.readable(stage, need, within, now)/streams)
		}
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
		held := s.reserved / t.sharers.share(s.DataCentre)
		if s.load.Total > 0 && now.Sub(s.load.At) <= loadTrust {
			held = s.load.Used
		}
		most = max(most, held/(t.spec.usualTokens()*float64(max(1, stage.Layers.Len()))))
	}
	return most
}

// readable is how many moved streams the holders of a stage's layers in its data centre can read
// within a time, taken to be like the one that was found. The table is locked.
func (t *Table) readable(stage Stage, need Need, within time.Duration, now time.Time) float64 {
	s := t.replicas[stage.Replica.Key()]
	if s == nil {
		return 0
	}
	alike := 0
	for k, other := range t.replicas {
		holds := other.Held.From <= stage.Layers.From && other.Held.To >= stage.Layers.To
		if holds && other.DataCentre == s.DataCentre && !other.Draining && !other.suspected(now) && (k == s.Key() || !need.Avoid[k]) {
			alike++
		}
	}
	each := t.spec.readTime(s.kind, float64(need.Prompt), stage.Layers.Len()) * s.slowness(now)
	return float64(max(1, alike)) * readShare * within.Seconds() / max(each, minRead.Seconds())
}

// minRead bounds the time of reading one stream from below.
const minRead = 100 * time.Microsecond
