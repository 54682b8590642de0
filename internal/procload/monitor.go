package procload

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/sleep"
)

const (
	// sampleInterval is the time between two measurements.
	sampleInterval = 25 * time.Millisecond
	// window is the time over which measurements count: one from so long ago counts 1/e.
	window = 500 * time.Millisecond
)

// Monitor measures the pressure on the processor: the part of the time in which a timer of this process was
// overdue. It is safe for concurrent use.
type Monitor struct {
	limit float64
	// pressure holds the bits of a float64 from 0 to 1.
	pressure atomic.Uint64
}

// NewMonitor returns a monitor for which a pressure above limit is saturation. With limit 0 it measures
// nothing.
func NewMonitor(limit float64) *Monitor { return &Monitor{limit: limit} }

// Run measures until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	if m.limit <= 0 {
		return
	}
	for started := time.Now(); sleep.For(ctx, sampleInterval); started = time.Now() {
		m.observe(time.Since(started) - sampleInterval)
	}
}

// observe records by how much a timer was late.
func (m *Monitor) observe(delay time.Duration) {
	delay = max(0, delay)
	took := sampleInterval + delay
	kept := math.Exp(-took.Seconds() / window.Seconds())
	m.pressure.Store(math.Float64bits(kept*m.Pressure() + (1-kept)*delay.Seconds()/took.Seconds()))
}

// Pressure returns the part of the time in which a timer was overdue, from 0 to 1.
func (m *Monitor) Pressure() float64 { return math.Float64frombits(m.pressure.Load()) }

// Saturated reports whether the process is short of processor time.
func (m *Monitor) Saturated() bool { return m.limit > 0 && m.Pressure() > m.limit }
