package relay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// reportFresh is how long a replica's report answers for it. Streams that stand still
// together ask together, and the report itself lags by more.
const reportFresh = 50 * time.Millisecond

// asking asks replicas for their reports, once for all streams that want to know.
type asking struct {
	engines Engines
	flights singleflight.Group

	mu   sync.Mutex // guards the field below
	kept map[string]keptReport
}

type keptReport struct {
	report EngineReport
	at     time.Time
}

func newAsking(engines Engines) *asking {
	return &asking{engines: engines, kept: map[string]keptReport{}}
}

// report returns a replica's report, at most reportFresh old.
func (a *asking) report(address string) (EngineReport, error) {
	if report, ok := a.recent(address); ok {
		return report, nil
	}
	answer, err, _ := a.flights.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		report, err := a.engines.Report(ctx, address)
		if err == nil {
			a.keep(address, report)
		}
		return report, err
	})
	return answer.(EngineReport), err
}

func (a *asking) recent(address string) (EngineReport, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept, ok := a.kept[address]
	return kept.report, ok && time.Since(kept.at) < reportFresh
}

// keep remembers the report, and drops those that are of no use any more.
func (a *asking) keep(address string, report EngineReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for other, kept := range a.kept {
		if time.Since(kept.at) >= reportFresh {
			delete(a.kept, other)
		}
	}
	a.kept[address] = keptReport{report: report, at: time.Now()}
}
