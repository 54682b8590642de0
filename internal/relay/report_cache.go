package relay

import (
	"context"
	"time"
)

// reportTTL is how long a replica's report is reused. Streams that stall together query together,
// and the report itself lags by more.
const reportTTL = 50 * time.Millisecond

// reportCache queries replicas for their reports, once for all streams that need one.
type reportCache struct {
	engines Engines
	cache   *ttlCache[EngineReport]
}

func newReportCache(engines Engines) *reportCache {
	return &reportCache{engines: engines, cache: newTTLCache[EngineReport]()}
}

// report returns a replica's report that is at most reportTTL old.
func (c *reportCache) report(address string) (EngineReport, error) {
	if report, ok := c.cache.get(address); ok {
		return report, nil
	}
	return c.cache.do(address, func() (EngineReport, error) {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		report, err := c.engines.Report(ctx, address)
		if err == nil {
			c.cache.put(address, report, reportTTL)
		}
		return report, err
	})
}
