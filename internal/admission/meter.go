package admission

import "time"

const (
	// meterWeight is the weight of the newest observation in the moving averages.
	meterWeight = 1.0 / 16
	// maxIntervalRatio limits an observed interval to a multiple of the average one.
	// Intervals up to minIntervalBound, in seconds, are not limited.
	maxIntervalRatio = 8
	minIntervalBound = 0.1
)

// meter estimates how fast a queue moves. It must only observe intervals during which
// requests waited, because an idle queue gives no information about the capacity. It
// is not safe for concurrent use.
type meter struct {
	seconds float64   // average time between two starts
	cost    float64   // average cost of a start
	last    time.Time // time of the last start, or of the last restart of the meter
}

func (m *meter) hasData() bool { return m.cost > 0 }

// restart begins a busy period: the time before now is not observed.
func (m *meter) restart(now time.Time) { m.last = now }

// observe records the start of a queued request with the given cost.
func (m *meter) observe(now time.Time, cost float64) {
	seconds := now.Sub(m.last).Seconds()
	m.last = now
	if !m.hasData() {
		m.seconds, m.cost = seconds, cost
		return
	}
	// A stall is over with the first start after it. If its whole length entered the
	// average, the estimate would stay high and requests that the pool could serve
	// would be refused.
	seconds = min(seconds, max(maxIntervalRatio*m.seconds, minIntervalBound))
	m.seconds += (seconds - m.seconds) * meterWeight
	m.cost += (cost - m.cost) * meterWeight
}

// wait returns the expected time in which the queue starts requests of the given total
// cost, 0 without observations. The current interval counts once it is longer than the
// average, so that the estimate rises while the queue is stalled.
func (m *meter) wait(now time.Time, cost float64) time.Duration {
	if !m.hasData() {
		return 0
	}
	seconds := m.seconds
	if open := now.Sub(m.last).Seconds(); open > seconds {
		seconds += (open - seconds) * meterWeight
	}
	return time.Duration(cost / m.cost * seconds * float64(time.Second))
}
