package stall

import "time"

const (
	// probeShare is the share of the longest acceptable gap after which a stream's stages are
	// probed. The rest is left for the order to move the stream and for the new stage to read the
	// tokens so far.
	probeShare = 0.4
	// reportShare is the share after which the path's first replica is asked for a report.
	reportShare = 0.6
	// defaultMaxGap applies if the operator configures none.
	defaultMaxGap = 250 * time.Millisecond
)

// MaxGap returns the longest gap between two events that callers accept: the configured one, or the
// default if it is 0.
func MaxGap(configured time.Duration) time.Duration {
	if configured <= 0 {
		return defaultMaxGap
	}
	return configured
}

// Timeouts are the times since a stream's last event after which its stall is investigated.
type Timeouts struct {
	// Probe is the time until the stages are probed, Report until the path's first replica is asked
	// for a report.
	Probe  time.Duration
	Report time.Duration
}

// TimeoutsFor returns the timeouts of a stream with these gaps whose callers accept a gap of at most
// maxGap, 0 if unknown. The stages of a slow or uneven path are probed later, but not later than the
// first replica is asked, whose answer all streams share.
func TimeoutsFor(maxGap time.Duration, stats GapStats) Timeouts {
	maxGap = MaxGap(maxGap)
	share := func(of float64) time.Duration { return time.Duration(of * float64(maxGap)) }
	report := share(reportShare)
	return Timeouts{Probe: min(report, max(share(probeShare), stats.OutlierThreshold())), Report: report}
}
