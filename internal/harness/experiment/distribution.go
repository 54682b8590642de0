package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	shortest    = int64(time.Microsecond)
	longest     = int64(10 * time.Minute)
	significant = 3
)

// distribution is a set of durations. It is safe for concurrent use.
type distribution struct {
	mu        sync.Mutex // guards the field below
	histogram *hdrhistogram.Histogram
}

func newDistribution() *distribution {
	return &distribution{histogram: hdrhistogram.New(shortest, longest, significant)}
}

func (d *distribution) add(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.histogram.RecordValue(min(max(int64(took), shortest), longest)) // within its range
}

// quantile returns a percentile in milliseconds; 0 when there is nothing.
func (d *distribution) quantile(percent float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(d.histogram.ValueAtQuantile(percent)) / float64(time.Millisecond)
}

func (d *distribution) highest() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return float64(d.histogram.Max()) / float64(time.Millisecond)
}

func (d *distribution) count() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.histogram.TotalCount()
}
