package telemetry

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// BenchmarkScrape measures the memory of the metrics and the cost of a scrape at the design
// size, with 2,600 workspaces and 600 targets. The workspaces exceed the bound on names.
func BenchmarkScrape(b *testing.B) {
	before := heapInUse()
	m := NewMetrics("geraniumcroft")
	r := NewRecorder(m, RecorderOptions{})
	for i := range 2600 {
		r.RequestEnded(outcome.Complete, "", config.Bulk, fmt.Sprintf("workspace-%04d", i), time.Millisecond)
	}
	for i := range 600 {
		r.TargetResult(fmt.Sprintf("target-%03d", i), true)
	}
	time.Sleep(2 * reportInterval)
	metricsBytes := float64(heapInUse() - before)
	var size int
	for b.Loop() {
		response := httptest.NewRecorder()
		m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
		size = response.Body.Len()
	}
	b.ReportMetric(metricsBytes, "heap-bytes")
	b.ReportMetric(float64(size), "bytes/scrape")
	b.StopTimer()
	_ = m.Close()
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
