package loadgen

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const lateness = 10 * time.Second

// optionsFor returns options for one router with the handler and one profile.
func optionsFor(t *testing.T, kind Kind, answer handler, count int) Options {
	t.Helper()
	return Options{
		Routers:     []string{serve(t, answer)},
		Profiles:    []Profile{{Name: "drafts", Kind: kind, Share: 1, PromptTokens: 4, MaxTokens: 4}},
		Rate:        1000,
		Count:       count,
		Timeout:     time.Minute,
		MaxInFlight: 100,
		Workspaces:  1,
		Skew:        DefaultSkew,
	}
}

// runOne sends one request to a router with the handler.
func runOne(t *testing.T, kind Kind, answer handler) *result {
	t.Helper()
	o := optionsFor(t, kind, answer, 1)
	s := newSender(&o)
	defer s.close()
	a := Arrival{Profile: "drafts", Router: o.Routers[0], PromptTokens: 4, MaxTokens: 4}
	return s.send(context.Background(), a, time.Now())
}

// Each malformed response fails its check, and well-formed responses fail none.
func TestResponseChecks(t *testing.T) {
	good := []string{chunk(requestID, "t0 "), chunk(requestID, "t1 "), outcomeEvent("complete", 2), streamEnd}
	identity := func(body string) string { return body }
	cases := []struct {
		name   string
		kind   Kind
		answer handler
		ending Ending
		faults []Check
	}{
		{"whole stream", KindChat, streamOf(good...), EndComplete, nil},
		{"gap", KindChat, streamOf(good[0], chunk(requestID, "t2 "), good[2], streamEnd), EndComplete, []Check{CheckTokens}},
		{"repeat", KindChat, streamOf(good[0], good[0], good[2], streamEnd), EndComplete, []Check{CheckTokens}},
		{"wrong count", KindChat, streamOf(good[0], outcomeEvent("complete", 2), streamEnd), EndComplete, []Check{CheckTokenCount}},
		{"no outcome", KindChat, streamOf(good[0], good[1], streamEnd), EndNoAnswer, []Check{CheckOneOutcome}},
		{"two outcomes", KindChat, streamOf(good[0], good[1], good[2], good[2], streamEnd), EndComplete, []Check{CheckOneOutcome}},
		{"token after outcome", KindChat, streamOf(good[0], outcomeEvent("complete", 1), good[1], streamEnd), EndComplete, []Check{CheckOneOutcome}},
		{"not-run after tokens", KindChat, streamOf(good[0], outcomeEvent("not-run", 1), streamEnd), EndNotRun, []Check{CheckOneOutcome}},
		{"no end", KindChat, streamOf(good[:3]...), EndComplete, []Check{CheckEndOfStream}},
		{"another request's token", KindChat, streamOf(chunk("request-2", "t0 "), good[1], good[2], streamEnd), EndComplete, []Check{CheckOwnAnswer}},
		{"no JSON", KindChat, streamOf("data: {\n\n", good[0], good[1], good[2], streamEnd), EndComplete, []Check{CheckParses}},
		{"cut off", KindChat, abortConnection, EndNoAnswer, nil},
		{"refusal", KindChat, refusal(503, "not-run", "not-run"), EndNotRun, nil},
		{"refusal with two outcomes", KindChat, refusal(503, "not-run", "unknown"), EndNotRun, []Check{CheckOneOutcome}},
		{"refusal without outcome", KindCall, refusal(503, "", "not-run"), EndNoAnswer, []Check{CheckOneOutcome, CheckOneOutcome}},
		{"complete refusal", KindCall, refusal(503, "complete", "complete"), EndComplete, []Check{CheckOneOutcome}},
		{"call", KindCall, echoing(identity), EndComplete, nil},
		{"another call's answer", KindCall, echoing(strings.ToUpper), EndComplete, []Check{CheckOwnAnswer}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runOne(t, c.kind, c.answer)
			var checks []Check
			for _, fault := range r.faults {
				checks = append(checks, fault.Check)
			}
			if r.ending != c.ending || !slices.Equal(checks, c.faults) {
				t.Errorf("ended %q with faults %v, want %q with %v", r.ending, r.faults, c.ending, c.faults)
			}
		})
	}
}

// A request that is sent ten seconds late has a latency of at least ten seconds. With
// latency from the actual send time, a stall would hide the delay of the requests that
// could not be sent during the stall.
func TestLatencyCountsFromTheIntendedTime(t *testing.T) {
	o := optionsFor(t, KindChat, streamOf(chunk(requestID, "t0 "), outcomeEvent("complete", 1), streamEnd), 1)
	s := newSender(&o)
	defer s.close()
	r := s.send(context.Background(), Arrival{Profile: "drafts", Router: o.Routers[0]}, time.Now().Add(-lateness))
	for what, d := range map[string]time.Duration{"late": r.late, "first": r.first, "whole": r.whole} {
		if d < lateness {
			t.Errorf("%s is %s", what, d)
		}
	}
}

// A report covers every request, can be written and read back, plotted and compared.
func TestReports(t *testing.T) {
	const count = 50
	o := optionsFor(t, KindChat, streamOf(chunk(requestID, "t0 "), chunk(requestID, "t1 "), outcomeEvent("complete", 2), streamEnd), count)
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if report.Requests != count || report.Endings[EndComplete] != count || report.Tokens != 2*count || report.FaultCount() != 0 {
		t.Fatalf("report %+v", report)
	}
	if s := report.Series[0]; s.FirstToken.Count != count || s.BetweenTokens.Count != count || s.Whole.Count != count {
		t.Fatalf("series %+v", s)
	}
	dir := t.TempDir()
	for _, name := range []string{"plot.svg", "plot.png"} {
		file := filepath.Join(dir, name)
		if err := report.SavePlot(file); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Fatalf("%s: %v", name, err)
		}
	}
	var encoded, text bytes.Buffer
	if err := report.WriteJSON(&encoded); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "report.json")
	if err := os.WriteFile(file, encoded.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	again, err := ReadJSON(file)
	if err != nil {
		t.Fatal(err)
	}
	again.Series[0].Whole.P50 *= 2
	if err := Compare(&text, report, again); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "2.000") {
		t.Errorf("comparison:\n%s", text.String())
	}
}

// An arrival above MaxInFlight is counted and not sent, and it delays no other request.
func TestMaxInFlight(t *testing.T) {
	release := make(chan struct{})
	good := streamOf(chunk(requestID, "t0 "), outcomeEvent("complete", 1), streamEnd)
	o := optionsFor(t, KindChat, nil, 20)
	o.Routers = []string{serve(t, func(w http.ResponseWriter, body string) {
		<-release
		good(w, body)
	})}
	o.MaxInFlight = 5
	recorder := newRecorder(&o)
	done := make(chan *Report)
	go func() { done <- run(context.Background(), &o, recorder) }()
	for range 1000 { // the router answers once all arrivals above the limit are counted
		if recorder.unsentCount() == o.Count-o.MaxInFlight {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(release)
	report := <-done
	if report.Requests != o.MaxInFlight || report.NotSent != o.Count-o.MaxInFlight {
		t.Errorf("%d sent, %d not sent", report.Requests, report.NotSent)
	}
}

// The schedule has the rate, the shares and the distributions that the options give, and
// the same seed gives the same schedule.
func TestScheduleFollowsItsOptions(t *testing.T) {
	const count = 20000
	o := Options{
		Routers:    []string{"127.0.0.1:1", "127.0.0.1:2"},
		Profiles:   []Profile{{Name: "d-%d", Share: 3, PromptTokens: 100, MaxTokens: 50}, {Name: "c", Kind: KindCall, Share: 1, PromptTokens: 5, MaxTokens: 1}},
		Rate:       100,
		Count:      count,
		Seed:       7,
		Workspaces: 50,
		Skew:       DefaultSkew,
	}
	first, again := NewSchedule(&o), NewSchedule(&o)
	names, routers, longest, chats := map[string]int{}, map[string]int{}, 0, 0
	var last Arrival
	for a, ok := first.Next(); ok; a, ok = first.Next() {
		if b, _ := again.Next(); a != b {
			t.Fatalf("same seed, %+v and %+v", a, b)
		}
		if a.ProfileIndex == 0 {
			chats++
			names[a.Profile]++
			longest = max(longest, a.MaxTokens)
		}
		routers[a.Router]++
		last = a
	}
	within := func(what string, got, want, tolerance float64) {
		if got < want*(1-tolerance) || got > want*(1+tolerance) {
			t.Errorf("%s is %v, want about %v", what, got, want)
		}
	}
	within("arrivals", float64(last.Number+1), count, 0)
	within("duration", last.At.Seconds(), count/o.Rate, 0.05)
	within("share of chats", float64(chats)/count, 0.75, 0.05)
	within("first router's", float64(routers["127.0.0.1:1"]), count/2, 0)
	if largest := names["d-0"]; largest < 5*chats/o.Workspaces || len(names) < o.Workspaces/2 {
		t.Errorf("workspaces %v", names)
	}
	if longest < 20*50 {
		t.Errorf("longest output %d has no heavy tail", longest)
	}
}

// Load is sent to other machines only with AllowRemote, and router addresses are IP
// addresses.
func TestRemoteRoutersNeedAFlag(t *testing.T) {
	o := optionsFor(t, KindChat, streamOf(), 1)
	o.Routers = []string{"192.0.2.1:80"}
	if _, err := Run(context.Background(), o); err == nil {
		t.Error("a router on another machine was accepted")
	}
	o.AllowRemote = true
	if err := o.Check(); err != nil {
		t.Error(err)
	}
	o.Routers = []string{"router.example:80"}
	if o.Check() == nil {
		t.Error("a host name was accepted")
	}
}

func TestParseProfile(t *testing.T) {
	got, err := ParseProfile("name=d-%d,kind=call,share=0.5,prompt=7,tokens=9")
	want := Profile{Name: "d-%d", Kind: KindCall, Share: 0.5, PromptTokens: 7, MaxTokens: 9}
	if err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	for _, bad := range []string{"", "share=1", "name=a,share=0", "name=a,kind=x", "name=a,prompt=-1", "name=a-%s", "name=a,x=1", "name=a,share=NaN"} {
		if _, err := ParseProfile(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func (c *recorder) unsentCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsent
}
