package relay

import (
	"context"
	"time"
)

// reportFresh is how long a replica's report answers for it. Streams that stand still
// together ask together, and the report itself lags by more.
const reportFresh = 50 * time.Millisecond

// asking asks replicas for their reports, once for all streams that want to know.
type asking struct {
	engines Engines
	reports *keptAnswers[EngineReport]
}

func newAsking(engines Engines) *asking {
	return &asking{engines: engines, reports: newKeptAnswers[EngineReport]()}
}

// report returns a replica's report, at most reportFresh old.
func (a *asking) report(address string) (EngineReport, error) {
	if report, ok := a.reports.recent(address); ok {
		return report, nil
	}
	return a.reports.once(address, func() (EngineReport, error) {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		report, err := a.engines.Report(ctx, address)
		if err == nil {
			a.reports.keep(address, report, reportFresh)
		}
		return report, err
	})
}
