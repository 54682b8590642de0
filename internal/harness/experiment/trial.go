package experiment

import (
	"fmt"
	"time"
)

// Trial is one repeat of an experiment. It adds its figures to the report.
type Trial struct {
	// Duration is the time under load of each measured phase.
	Duration time.Duration
	Seed     uint64
	report   *Report
}

// figure adds a figure without a limit.
func (t *Trial) figure(name, unit string, value float64) {
	t.report.figure(name, unit, nil).add(value)
}

// limited adds a figure that has to meet a limit.
func (t *Trial) limited(name, unit string, value float64, limit *Limit) {
	t.report.figure(name, unit, limit).add(value)
}

func (t *Trial) note(format string, args ...any) { t.report.note(fmt.Sprintf(format, args...)) }

// latencies adds the median and the 99th percentile, in milliseconds.
func (t *Trial) latencies(name string, d *distribution) {
	t.figure(name+" p50", "ms", d.percentile(50))
	t.figure(name+" p99", "ms", d.percentile(99))
}
