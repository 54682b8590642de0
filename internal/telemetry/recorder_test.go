package telemetry

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	if err := m.Close(); err != nil { // reports the remaining values
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	return recorder.Body.String()
}

func TestRecorderIsScraped(t *testing.T) {
	m := NewMetrics("gc")
	r := NewRecorder(m, RecorderOptions{})
	r.RequestEnded(outcome.NotRun, outcome.ReasonDeadline, config.Urgent, "crews", 3*time.Millisecond)
	r.RequestEnded(outcome.Complete, "", config.Bulk, "crews", time.Second)
	r.FirstToken(config.Urgent, 340*time.Millisecond)
	r.BetweenTokens(config.Bulk, 60*time.Millisecond)
	r.Queued(config.Normal, time.Millisecond)
	r.TargetResult("bay-1", true)
	r.TargetResult("bay_1", false)
	r.Retry("hedge")
	r.StaleEvent()
	r.InputRefused(outcome.ReasonTooLarge)
	r.Preempted()
	r.Violation("no-token-gap-or-repeat")
	text := scrape(t, m)
	for _, want := range []string{
		`gc_requests_total{outcome="not-run",reason="deadline",urgency="urgent"} 1`,
		`gc_requests_total{outcome="complete",reason="",urgency="bulk"} 1`,
		`gc_workspace_requests_total{outcome="not-run",workspace="crews"} 1`,
		`gc_first_token_seconds_bucket{urgency="urgent",le="0.35"} 1`,
		`gc_between_tokens_seconds_bucket{urgency="bulk",le="0.066"} 1`,
		`gc_queue_seconds_count{urgency="normal"} 1`,
		`gc_request_seconds_count{urgency="bulk"} 1`,
		`gc_target_attempts_total{result="ok",target="bay-1"} 1`,
		`gc_target_attempts_total{result="failed",target="bay_1"} 1`,
		`gc_retries_total{kind="hedge"} 1`,
		`gc_stale_events_total 1`,
		`gc_input_refused_total{reason="too-large"} 1`,
		`gc_preemptions_total 1`,
		`gc_invariant_violations_total{invariant="no-token-gap-or-repeat"} 1`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no line %s", want)
		}
	}
	if t.Failed() {
		t.Log(text)
	}
}

// With thousands of workspaces, counted from several goroutines, the number of series stays
// bounded and the sum includes every request.
func TestCardinalityIsBounded(t *testing.T) {
	m := NewMetrics("gc")
	r := NewRecorder(m, RecorderOptions{MaxWorkspaces: 10})
	var group sync.WaitGroup
	for g := range 8 {
		group.Go(func() {
			for i := range 500 {
				r.RequestEnded(outcome.Complete, "", config.Bulk, fmt.Sprintf("w%d", g*500+i), time.Millisecond)
			}
		})
	}
	group.Wait()
	text := scrape(t, m)
	if series := strings.Count(text, `gc_workspace_requests_total{outcome="complete"`); series != 11 {
		t.Errorf("%d series, want 11: 10 workspaces and other", series)
	}
	if want := `gc_workspace_requests_total{outcome="complete",workspace="other"} 3990`; !strings.Contains(text, want) {
		t.Errorf("no line %s", want)
	}
}

func TestRecorderDoesNotAllocate(t *testing.T) {
	m := NewMetrics("gc")
	defer m.Close()
	r := NewRecorder(m, RecorderOptions{})
	record := func() {
		r.RequestEnded(outcome.NotRun, outcome.ReasonDeadline, config.Urgent, "crews", time.Millisecond)
		r.TargetResult("bay-1", true)
		r.BetweenTokens(config.Bulk, time.Millisecond)
		r.Retry("hedge")
	}
	record()
	if allocs := testing.AllocsPerRun(100, record); allocs != 0 {
		t.Errorf("%v allocations", allocs)
	}
}

func BenchmarkBetweenTokens(b *testing.B) {
	m := NewMetrics("gc")
	defer m.Close()
	r := NewRecorder(m, RecorderOptions{})
	b.ReportAllocs()
	for b.Loop() {
		r.BetweenTokens(config.Bulk, 60*time.Millisecond)
	}
}

func BenchmarkRequestEnded(b *testing.B) {
	m := NewMetrics("gc")
	defer m.Close()
	r := NewRecorder(m, RecorderOptions{})
	b.ReportAllocs()
	for b.Loop() {
		r.RequestEnded(outcome.Complete, "", config.Urgent, "crews", time.Millisecond)
	}
}
