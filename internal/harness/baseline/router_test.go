package baseline

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine/httpengine"
	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
	"geraniumcroft/internal/service/httpservice"
	"geraniumcroft/internal/transport"
)

const testBound = 30 * time.Second

// fixed is a configuration that does not change.
type fixed struct{ *config.Snapshot }

func (f fixed) Current() *config.Snapshot { return f.Snapshot }

// world is a baseline before two engines of each half and two instances.
type world struct {
	engines  []*enginesim.Engine
	services []*servicesim.Service
	caller   callclient.Client
}

func newWorld(t *testing.T) (*world, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testBound)
	t.Cleanup(cancel)
	w := &world{}
	snapshot := config.NewSnapshot()
	model := &config.Model{Name: "grid", Layers: 8, Versions: []string{"1"}}
	snapshot.Models["grid"] = model
	for number := range 4 {
		half := number / 2
		e := enginesim.New(enginesim.Options{
			Name: fmt.Sprintf("engine-%d", number), Model: model, Version: "1", Layers: config.LayerRange{From: 4 * half, To: 4*half + 4},
			LayerTokensPerSecond: 4000,
		})
		must(t, e.Start("127.0.0.1:0"))
		t.Cleanup(e.Close)
		w.engines = append(w.engines, e)
		snapshot.Targets[e.Name()] = e.Target()
	}
	for number := range 2 {
		s := servicesim.New(servicesim.Options{Name: fmt.Sprintf("permits-%d", number), Service: "permits"})
		must(t, s.Start("127.0.0.1:0"))
		t.Cleanup(s.Close)
		w.services = append(w.services, s)
		snapshot.Targets[s.Target().Name] = s.Target()
	}
	snapshot.Profiles["summary"] = &config.Profile{Name: "summary", Models: []config.ModelRef{{Model: "grid", Version: "1"}}, Deadline: config.Duration(testBound)}
	snapshot.Profiles["lockout"] = &config.Profile{Name: "lockout", Service: "permits", Path: "/lockout", Deadline: config.Duration(testBound)}
	pool := transport.NewPool(transport.Settings{}, nil)
	t.Cleanup(pool.Close)
	server := httptest.NewServer(New(Options{
		Source: fixed{snapshot}, Engines: httpengine.New(pool, httpengine.Settings{}), Services: httpservice.New(pool, httpservice.Settings{}),
	}))
	t.Cleanup(server.Close)
	w.caller = callclient.Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: &http.Client{}}
	return w, ctx
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Without failures the baseline is right: what a comparison shows is not a fault
// of its own making.
func TestBaselineServesWhatDoesNotFail(t *testing.T) {
	w, ctx := newWorld(t)
	answer, err := w.caller.Generate(ctx, "summary", "bay 7", 12, nil)
	if err != nil || answer.Outcome != "complete" || len(answer.Tokens) != 12 {
		t.Errorf("%v, %+v", err, answer)
	}
	call, err := w.caller.Call(ctx, "lockout", "", []byte("{}"))
	if err != nil || call.Outcome != "complete" {
		t.Errorf("%v, %+v", err, call)
	}
}

// The crew's lockout is executed, its answer is lost, and the baseline sends it
// again: the crew reads complete, the record holds two. That is what the product
// is compared with; a baseline that were careful here would show nothing.
func TestBaselineRunsACallTwiceWhenItsAnswerIsLost(t *testing.T) {
	w, ctx := newWorld(t)
	for _, s := range w.services {
		s.SetFaults(func(f *servicesim.Faults) { f.LoseResponses = 1 })
	}
	_, err := w.caller.Call(ctx, "lockout", "", []byte("{}"))
	must(t, err)
	if ran := w.services[0].ExecutedTotal() + w.services[1].ExecutedTotal(); ran != 2 {
		t.Errorf("ran %d times, want 2", ran)
	}
}

// A stage dies after the caller has tokens: the stream is given up, and says so.
func TestBaselineGivesUpAStreamWithTokens(t *testing.T) {
	w, ctx := newWorld(t)
	answer, err := w.caller.Generate(ctx, "summary", "bay 7", 2000, func(position int) {
		if position == 5 {
			w.engines[0].Die()
			w.engines[1].Die()
		}
	})
	if err != nil || answer.Outcome != "unknown" || len(answer.Tokens) < 6 {
		t.Errorf("%v, outcome %q, %d tokens", err, answer.Outcome, len(answer.Tokens))
	}
}
