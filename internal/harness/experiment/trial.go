package experiment

import (
	"fmt"
	"time"
)

// Trial is one repeat of an experiment; what it finds goes into the report.
type Trial struct {
	// Duration is how long each measured phase is under load.
	Duration time.Duration
	Seed     uint64
	report   *Report
}

func (t *Trial) figure(name, unit string, value float64) {
	t.report.figure(name, unit, nil).add(value)
}

// limited adds a figure that has to meet a limit.
func (t *Trial) limited(name, unit string, value float64, wanted *Limit) {
	t.report.figure(name, unit, wanted).add(value)
}

func (t *Trial) note(format string, args ...any) { t.report.note(fmt.Sprintf(format, args...)) }

// latencies adds the median and the 99th percentile in milliseconds.
func (t *Trial) latencies(name string, d *distribution) {
	t.figure(name+" p50", "ms", d.quantile(50))
	t.figure(name+" p99", "ms", d.quantile(99))
}
