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

// BenchmarkScrape gives what the metrics hold and what a scrape costs at the size
// to design for, with all names beyond the bounds that are kept.
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
	held := float64(heapInUse() - before)
	var size int
	for b.Loop() {
		answer := httptest.NewRecorder()
		m.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
		size = answer.Body.Len()
	}
	b.ReportMetric(held, "heap-bytes")
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
