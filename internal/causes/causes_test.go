package causes

import (
	"bytes"
	"compress/gzip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// log holds the lines of two VMs about eight requests, and a line of another program.
const log = `-3.1 vm-a {"level":"info","time":"2026-12-02T10:00:00Z","msg":"started","vm":"a","dataCentre":"north"}
{"level":"info","time":"2026-12-02T10:00:01Z","msg":"request complete","vm":"a","requestId":"r1","took":"40ms","profile":"call","objective":"150ms"}
{"level":"info","time":"2026-12-02T10:00:01Z","msg":"request complete","vm":"a","requestId":"r2","took":"400ms","profile":"call","objective":"150ms"}
{"level":"info","time":"2026-12-02T10:00:05Z","msg":"request complete","vm":"a","requestId":"r3","took":"3s","profile":"draft","path":"p","waited":"600ms","firstEvent":"700ms","longestPause":"100ms","sends":1,"objective":"500ms","gap":"200ms"}
{"level":"info","time":"2026-12-02T10:00:05Z","msg":"request complete","vm":"b","requestId":"r4","took":"3s","profile":"draft","path":"p","firstEvent":"70ms","longestPause":"300ms","pauseEnded":"sent anew","sends":2,"objective":"500ms","gap":"200ms"}
{"level":"info","time":"2026-12-02T10:00:05Z","msg":"request complete","vm":"b","requestId":"r5","took":"3s","profile":"draft","path":"p","firstEvent":"70ms","longestPause":"100ms","sends":1,"objective":"500ms","gap":"200ms"}
{"level":"warn","time":"2026-12-02T10:00:09Z","msg":"request failed","vm":"b","requestId":"r6","took":"10ms","profile":"draft","outcome":"not-run","reason":"deadline","detail":"too late"}
{"level":"warn","time":"2026-12-02T10:00:09Z","msg":"request failed","vm":"b","requestId":"r7","took":"10ms","outcome":"not-run","reason":"unauthorized","detail":"no key"}
another program says: request failed
{"level":"warn","time":"2026-12-02T10:00:09Z","msg":"request failed","vm":"b","requestId":"r8","took":"2s","profile":"draft","path":"p","firstEvent":"70ms","outcome":"unknown","reason":"target-failed","detail":"gone"}
`

// Each request is counted once, under the outcome that its caller saw and the reason in its
// log line. Plain and compressed logs give the same report.
func TestEachRequestHasOneCause(t *testing.T) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, _ = w.Write([]byte(log))
	_ = w.Close()
	for name, text := range map[string]string{"plain": log, "compressed": packed.String()} {
		aggregator := New(Limits{}, Filter{}, 2*time.Second)
		if err := aggregator.Read(strings.NewReader(text)); err != nil {
			t.Fatal(name, err)
		}
		report := aggregator.Report()
		want := map[Cause]string{
			{InTime, ""}: "r1 r5", {Late, lateAnswer}: "r2", {Late, lateQueued}: "r3", {Late, "pause: sent anew"}: "r4",
			{Refused, "deadline: too late"}: "r6", {NotOwed, "unauthorized"}: "r7", {BrokenOff, "target-failed: gone"}: "r8",
		}
		if report.Requests != 8 || len(report.Causes) != len(want) {
			t.Errorf("%s: %d requests of %d causes", name, report.Requests, len(report.Causes))
		}
		for _, row := range report.Causes {
			if got := strings.Join(row.IDs, " "); got != want[row.Cause] {
				t.Errorf("%s: %v has %s, want %s", name, row.Cause, got, want[row.Cause])
			}
		}
	}
}

// Only requests of the filter's profile that arrived between its times are counted. The counts
// by span and by data centre add up to those of the causes.
func TestFilter(t *testing.T) {
	at := func(text string) time.Time {
		parsed, err := time.Parse(time.RFC3339, text)
		if err != nil {
			t.Fatal(err)
		}
		return parsed
	}
	aggregator := New(Limits{}, Filter{Since: at("2026-12-02T10:00:02Z"), Until: at("2026-12-02T10:00:08Z"), Profile: "draft"}, 2*time.Second)
	if err := aggregator.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	report := aggregator.Report()
	inSpans := 0
	for _, span := range report.Spans {
		for _, n := range span.Requests {
			inSpans += n
		}
	}
	if report.Requests != 4 || inSpans != 4 {
		t.Errorf("%d requests, %d in spans", report.Requests, inSpans)
	}
	var out strings.Builder
	if err := report.Print(&out); err != nil || !strings.Contains(out.String(), "north 1") {
		t.Errorf("%v:\n%s", err, out.String())
	}
}

// Guards against a report that depends on the order in which logs are given: the line with a VM's data
// centre may be in a later file than its requests.
func TestReportDoesNotDependOnTheOrderOfLogs(t *testing.T) {
	lines := strings.SplitAfter(strings.TrimSpace(log), "\n")
	report := func(lines []string) Report {
		aggregator := New(Limits{}, Filter{}, 2*time.Second)
		for _, line := range lines {
			if err := aggregator.Read(strings.NewReader(line)); err != nil {
				t.Fatal(err)
			}
		}
		return aggregator.Report()
	}
	forwards := report(lines)
	slices.Reverse(lines)
	if backwards := report(lines); !reflect.DeepEqual(forwards, backwards) {
		t.Errorf("forwards\n%+v\nbackwards\n%+v", forwards, backwards)
	}
}
