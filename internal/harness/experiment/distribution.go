package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minRecorded       = int64(time.Microsecond)
	maxRecorded       = int64(10 * time.Minute)
	significantDigits = 3
)

// distribution is a histogram of durations. It is safe for concurrent use.
type distribution struct {
	mu        sync.Mutex // guards the field below
	histogram *hdrhistogram.Histogram
}

func newDistribution() *distribution {
	return &distribution{histogram: hdrhistogram.New(minRecorded, maxRecorded, significantDigits)}
}

// add records a duration. Durations out of range are recorded as the nearest bound.
func (d *distribution) add(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.histogram.RecordValue(min(max(int64(took), minRecorded), maxRecorded)) // in range, so there is no error
}

// percentile returns a percentile in milliseconds, or 0 without durations.
func (d *distribution) percentile(percent float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(d.histogram.ValueAtQuantile(percent)) / float64(time.Millisecond)
}

// maximum returns the longest duration in milliseconds, or 0 without durations.
func (d *distribution) maximum() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(d.histogram.Max()) / float64(time.Millisecond)
}

func (d *distribution) count() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.histogram.TotalCount()
}
