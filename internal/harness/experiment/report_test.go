package experiment

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// A report has the median and the spread of each figure, and marks those that miss their
// limit.
func TestReportShowsSpreadAndUnmetLimits(t *testing.T) {
	r := newReport("sample", Options{}.withDefaults())
	trial := &Trial{report: r}
	for _, value := range []float64{5, 1, 3} {
		trial.limited("slow", "ms", value, atMost(2))
		trial.limited("fast", "tokens/s", value, atLeast(3))
	}
	slow := r.Figures[0]
	if slow.Median != 3 || slow.Min != 1 || slow.Max != 5 || *slow.Met || !*r.Figures[1].Met {
		t.Errorf("%+v, %+v", slow, r.Figures[1])
	}
	if unmet := r.Unmet(); len(unmet) != 1 || unmet[0] != "slow" {
		t.Errorf("not met: %v", unmet)
	}
	var text bytes.Buffer
	if err := r.WriteText(&text); err != nil || !strings.Contains(text.String(), "NOT met") {
		t.Errorf("%v\n%s", err, text.String())
	}
}

// gapAfter returns the gap that a failure caused, also if tokens that were in transit arrive
// after the failure. An earlier gap does not count.
func TestGapAfterAFailure(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	d := &timedDraft{tokens: []time.Time{at(0), at(500), at(510), at(520), at(820), at(830)}}
	if gap := d.gapAfter(at(505)); gap != 300*time.Millisecond {
		t.Errorf("gap %s, want 300ms", gap)
	}
	none := &timedDraft{tokens: []time.Time{at(900)}}
	if gap := none.gapAfter(at(505)); gap != 395*time.Millisecond {
		t.Errorf("gap %s of a draft without a token before, want 395ms", gap)
	}
}

// Runs an experiment over real connections. All requests are complete and no invariant is
// violated. Times are not checked.
func TestAnExperimentRuns(t *testing.T) {
	e, ok := Find("overhead")
	if !ok {
		t.Fatal("there is no experiment overhead")
	}
	report, err := e.Run(context.Background(), Options{Repeat: 1, Duration: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range report.Figures {
		if (f.Name == "failed requests" || f.Name == "violated invariants") && f.Max != 0 {
			t.Errorf("%s: %v", f.Name, f.Max)
		}
	}
}
