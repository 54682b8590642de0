package admission

import "time"

const (
	// meterWeight is the weight of the newest start in the moving averages.
	meterWeight = 1.0 / 16
	// meterSpread bounds an interval, in average ones, and meterFloor says up to
	// how many seconds an interval is taken in full.
	meterSpread = 8
	meterFloor  = 0.1
)

// meter estimates how fast a level's queue moves. It only looks at intervals
// through which somebody waited: an idle queue says nothing of the capacity.
type meter struct {
	seconds float64 // between two starts
	cost    float64 // of one start
	last    time.Time
}

func (m *meter) known() bool { return m.cost > 0 }

// restart begins a busy period.
func (m *meter) restart(now time.Time) { m.last = now }

// started records that a queued request of that cost started.
func (m *meter) started(now time.Time, cost float64) {
	seconds := now.Sub(m.last).Seconds()
	m.last = now
	if !m.known() {
		m.seconds, m.cost = seconds, cost
		return
	}
	// A standstill is over once something starts; were it averaged in full, the
	// estimate would stay high and refuse requests that the pool could serve.
	seconds = min(seconds, max(meterSpread*m.seconds, meterFloor))
	m.seconds += (seconds - m.seconds) * meterWeight
	m.cost += (cost - m.cost) * meterWeight
}

// wait estimates the time that the queue needs for that much cost; 0 when
// nothing is known. The open interval counts once it is longer than usual, so
// that the estimate rises while the queue stands still.
func (m *meter) wait(now time.Time, cost float64) time.Duration {
	if !m.known() {
		return 0
	}
	seconds := m.seconds
	if open := now.Sub(m.last).Seconds(); open > seconds {
		seconds += (open - seconds) * meterWeight
	}
	return time.Duration(cost / m.cost * seconds * float64(time.Second))
}
