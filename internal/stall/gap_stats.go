package stall

import "time"

const (
	// meanWeight and deviationWeight are the weights of a new gap in the running figures.
	meanWeight      = 0.125
	deviationWeight = 0.25
)

// GapStats is how regularly the events of a stream come: the running mean of the gaps between them and
// of their deviation from it. The zero value knows nothing.
type GapStats struct {
	mean      time.Duration
	deviation time.Duration
}

// Add takes in one gap.
func (p *GapStats) Add(gap time.Duration) {
	if p.mean == 0 {
		p.mean, p.deviation = gap, gap/2
		return
	}
	off := gap - p.mean
	p.mean += time.Duration(meanWeight * float64(off))
	p.deviation += time.Duration(deviationWeight * float64(off.Abs()-p.deviation))
}

// Mean returns the mean gap, 0 if none is known.
func (p *GapStats) Mean() time.Duration { return p.mean }

// OutlierThreshold returns from which length on a gap is no chance, 0 if nothing is known.
func (p *GapStats) OutlierThreshold() time.Duration { return p.mean + unusualDeviations*p.deviation }

// unusualDeviations is by how many mean deviations a gap that is no chance exceeds the mean.
const unusualDeviations = 4
