package router

import "time"

// gapMeter measures the mean time between the tokens of one placement, not counting the
// time that the caller takes to accept them. It is used only by the goroutine that runs
// the generation.
type gapMeter struct {
	waited       time.Duration
	gaps         int
	lastAccepted time.Time
}

// reset starts the measurement of a new placement. The wait for a placement's first token
// includes the processing of the prompt and does not count.
func (m *gapMeter) reset() { *m = gapMeter{} }

// tokenReceived records that a token arrived from the engines.
func (m *gapMeter) tokenReceived(now time.Time) {
	if m.lastAccepted.IsZero() {
		return
	}
	m.waited += now.Sub(m.lastAccepted)
	m.gaps++
}

// tokenAccepted records that the caller accepted a token.
func (m *gapMeter) tokenAccepted(now time.Time) { m.lastAccepted = now }

// mean returns the mean gap. It returns false if fewer than minGaps gaps were measured.
func (m *gapMeter) mean() (time.Duration, bool) {
	if m.gaps < minGaps {
		return 0, false
	}
	return m.waited / time.Duration(m.gaps), true
}

// minGaps is the minimum number of gaps that a mean is computed from.
const minGaps = 4
