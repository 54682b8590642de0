package stall

import "time"

const (
	// meanWeight and deviationWeight are the weights of a new gap in the moving averages.
	meanWeight      = 0.125
	deviationWeight = 0.25
)

// GapStats holds moving averages of the gaps between a stream's events and of their deviation from
// the mean gap. The zero value has no observations.
type GapStats struct {
	mean      time.Duration
	deviation time.Duration
}

// Add records one gap.
func (g *GapStats) Add(gap time.Duration) {
	if g.mean == 0 {
		g.mean, g.deviation = gap, gap/2
		return
	}
	diff := gap - g.mean
	g.mean += time.Duration(meanWeight * float64(diff))
	g.deviation += time.Duration(deviationWeight * float64(diff.Abs()-g.deviation))
}

// Mean returns the mean gap, 0 without observations.
func (g *GapStats) Mean() time.Duration { return g.mean }

// OutlierThreshold returns the length from which a gap is unlikely to be random variation, 0
// without observations.
func (g *GapStats) OutlierThreshold() time.Duration { return g.mean + outlierDeviations*g.deviation }

// outlierDeviations is how many mean deviations above the mean an outlier starts.
const outlierDeviations = 4
