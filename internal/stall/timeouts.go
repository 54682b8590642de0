package stall

import "time"

const (
	// askShare is the part of the pause that callers accept after which a stream's stages are
	// asked; the rest is for the order to move and for what the new stage has to read.
	askShare = 0.4
	// reportShare is the part after which its first replica is asked for a report.
	reportShare = 0.6
	// usualGap stands for the pause that callers accept where the operator names none.
	usualGap = 250 * time.Millisecond
)

// MaxGap is the pause that callers accept, where the operator names one or, with 0, none.
func MaxGap(named time.Duration) time.Duration {
	if named <= 0 {
		return usualGap
	}
	return named
}

// Timeouts is how long a stream may stand still.
type Timeouts struct {
	// Probe is how long before its stages are asked, Report before its first replica is.
	Probe  time.Duration
	Report time.Duration
}

// TimeoutsFor returns the patience with a stream of that pace, whose callers accept a pause of gap,
// 0 if that is unknown. The stages of a path that is slow or uneven are asked later, but no later
// than its first replica, which lets all streams share one answer.
func TimeoutsFor(gap time.Duration, pace GapStats) Timeouts {
	gap = MaxGap(gap)
	share := func(of float64) time.Duration { return time.Duration(of * float64(gap)) }
	report := share(reportShare)
	return Timeouts{Probe: min(report, max(share(askShare), pace.OutlierThreshold())), Report: report}
}
