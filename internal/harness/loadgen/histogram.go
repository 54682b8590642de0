package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minRecorded       = int64(time.Microsecond)
	maxRecorded       = int64(time.Hour)
	significantDigits = 3
)

// histogram records durations from 1 µs to 1 h with three significant digits.
type histogram struct {
	h *hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{h: hdrhistogram.New(minRecorded, maxRecorded, significantDigits)}
}

// add records d. Durations out of range are recorded as the nearest bound.
func (h histogram) add(d time.Duration) {
	// RecordValue fails only for values out of range.
	_ = h.h.RecordValue(min(max(int64(d), minRecorded), maxRecorded))
}

// Quantiles is the summary of a histogram. Durations are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
}

func (h histogram) quantiles() Quantiles {
	at := func(percentile float64) float64 { return milliseconds(h.h.ValueAtPercentile(percentile)) }
	return Quantiles{
		Count: h.h.TotalCount(),
		Mean:  h.h.Mean() / float64(time.Millisecond),
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		P999:  at(99.9),
		Max:   milliseconds(h.h.Max()),
	}
}

func milliseconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Millisecond)
}
