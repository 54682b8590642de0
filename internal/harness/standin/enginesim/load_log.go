package enginesim

import (
	"time"

	"geraniumcroft/internal/engine"
)

const maxLoadLog = 4096

// loadLog keeps past load reports so that they can be served with a delay. It is
// guarded by the engine's lock.
type loadLog struct {
	reports    []engine.LoadReport
	rateTokens uint64
	rateAt     time.Time
	rate       float64
}

func (l *loadLog) record(now time.Time, report engine.LoadReport) {
	report.At = now
	if len(l.reports) == maxLoadLog {
		l.reports = l.reports[maxLoadLog/2:]
	}
	l.reports = append(l.reports, report)
}

// before returns the newest report made at the given time or earlier.
func (l *loadLog) before(at time.Time) (engine.LoadReport, bool) {
	for i := len(l.reports) - 1; i >= 0; i-- {
		if !l.reports[i].At.After(at) {
			return l.reports[i], true
		}
	}
	return engine.LoadReport{}, false
}

// measure returns the token rate per second, measured over intervals of at least
// 100 ms.
func (l *loadLog) measure(now time.Time, tokens uint64) float64 {
	passed := now.Sub(l.rateAt)
	if passed > 100*time.Millisecond {
		l.rate = float64(tokens-l.rateTokens) / passed.Seconds()
		l.rateTokens = tokens
		l.rateAt = now
	}
	return l.rate
}
