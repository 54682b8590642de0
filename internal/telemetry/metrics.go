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

// reportInterval is the interval at which values are reported to the registry, and so the
// maximum age of scraped values.
const reportInterval = time.Second

// Metrics is the root scope of all metrics of a process.
type Metrics struct {
	tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a root scope with its own registry, so that several routers in one
// process do not share counters. The registry includes the Go and process collectors.
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

// Handler returns the handler that serves the metrics for scraping.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the remaining values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// sanitizeOptions returns the reporter's default options, except that tag values keep all
// characters that names may contain. Otherwise bay-1 and bay_1 would be counted as one.
func sanitizeOptions() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.', ':', '@', '/'},
	}
	return &options
}
