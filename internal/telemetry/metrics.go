package telemetry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how far a scrape may lag behind.
const reportInterval = time.Second

// Metrics is the root of all metrics of a process.
type Metrics struct {
	tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns an empty root with a registry of its own, so that several
// routers in one process do not share their counts.
func NewMetrics(prefix string) *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler serves the metrics for scraping.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports what is left and ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// sanitizeOptions are the reporter's own, but that tags keep the characters that
// stand in names: with them replaced, bay-1 and bay_1 would be counted as one.
func sanitizeOptions() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.', ':', '@', '/'},
	}
	return &options
}
