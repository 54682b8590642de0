package admission

import "time"

// meterWeight is the weight of the newest start in the moving averages.
const meterWeight = 1.0 / 16

// meter estimates how fast a level's queue moves. It only looks at intervals
// through which somebody waited: an idle queue says nothing of the capacity.
type meter struct {
	seconds float64 // between two starts
	cost    float64 // of one start
	last    time.Time
}

// restart begins a busy period.
func (m *meter) restart(now time.Time) { m.last = now }

// started records that a queued request of that cost started.
func (m *meter) started(now time.Time, cost float64) {
	seconds := now.Sub(m.last).Seconds()
	m.last = now
	if m.cost == 0 {
		m.seconds, m.cost = seconds, cost
		return
	}
	m.seconds += (seconds - m.seconds) * meterWeight
	m.cost += (cost - m.cost) * meterWeight
}

// wait estimates the time that the queue needs for that much cost; 0 when
// nothing is known. The open interval counts once it is longer than usual, so
// that the estimate rises while the queue stands still.
func (m *meter) wait(now time.Time, cost float64) time.Duration {
	if m.cost == 0 {
		return 0
	}
	seconds := m.seconds
	if open := now.Sub(m.last).Seconds(); open > seconds {
		seconds += (open - seconds) * meterWeight
	}
	return time.Duration(cost / m.cost * seconds * float64(time.Second))
}

// noteFinished records one end of service. While requests wait, a target that
// ends one is ready for the next, so ends show the rate as starts do.
func (p *pool) noteFinished(time.Duration) {}
