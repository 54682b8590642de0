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

const testTimeout = 30 * time.Second

// fixedSource is a config.Source whose configuration does not change.
type fixedSource struct{ *config.Snapshot }

func (f fixedSource) Current() *config.Snapshot { return f.Snapshot }

// testRouter is a baseline router with two engines for each half of a model's layers and
// two instances of a service.
type testRouter struct {
	engines  []*enginesim.Engine
	services []*servicesim.Service
	caller   callclient.Client
}

func newTestRouter(t *testing.T) (*testRouter, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	fx := &testRouter{}
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
		fx.engines = append(fx.engines, e)
		snapshot.Targets[e.Name()] = e.Target()
	}
	for number := range 2 {
		s := servicesim.New(servicesim.Options{Name: fmt.Sprintf("permits-%d", number), Service: "permits"})
		must(t, s.Start("127.0.0.1:0"))
		t.Cleanup(s.Close)
		fx.services = append(fx.services, s)
		snapshot.Targets[s.Target().Name] = s.Target()
	}
	snapshot.Profiles["summary"] = &config.Profile{Name: "summary", Models: []config.ModelRef{{Model: "grid", Version: "1"}}, Deadline: config.Duration(testTimeout)}
	snapshot.Profiles["lockout"] = &config.Profile{Name: "lockout", Service: "permits", Path: "/lockout", Deadline: config.Duration(testTimeout)}
	pool := transport.NewPool(transport.Settings{}, nil)
	t.Cleanup(pool.Close)
	server := httptest.NewServer(New(Options{
		Source: fixedSource{snapshot}, Engines: httpengine.New(pool, httpengine.Settings{}), Services: httpservice.New(pool, httpservice.Settings{}),
	}))
	t.Cleanup(server.Close)
	fx.caller = callclient.Client{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: &http.Client{}}
	return fx, ctx
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Without failures the baseline serves requests correctly. A comparison would otherwise
// show faults of the baseline's own implementation.
func TestBaselineServesWhatDoesNotFail(t *testing.T) {
	fx, ctx := newTestRouter(t)
	answer, err := fx.caller.Generate(ctx, "summary", "bay 7", 12, nil)
	if err != nil || answer.Outcome != "complete" || len(answer.Tokens) != 12 {
		t.Errorf("%v, %+v", err, answer)
	}
	call, err := fx.caller.Call(ctx, "lockout", "", []byte("{}"))
	if err != nil || call.Outcome != "complete" {
		t.Errorf("%v, %+v", err, call)
	}
}

// A service executes a call that is not idempotent, and the response is lost. The baseline
// sends the call again, so it runs twice while the caller is told that it is complete. A
// baseline without this failure would be no comparison for how the product handles it.
func TestBaselineRunsACallTwiceWhenItsResponseIsLost(t *testing.T) {
	fx, ctx := newTestRouter(t)
	for _, s := range fx.services {
		s.SetFaults(func(f *servicesim.Faults) { f.LoseResponses = 1 })
	}
	_, err := fx.caller.Call(ctx, "lockout", "", []byte("{}"))
	must(t, err)
	if ran := fx.services[0].ExecutedTotal() + fx.services[1].ExecutedTotal(); ran != 2 {
		t.Errorf("ran %d times, want 2", ran)
	}
}

// If a stage crashes after the caller has received tokens, the stream ends with the outcome
// unknown.
func TestBaselineEndsAStreamThatHasTokens(t *testing.T) {
	fx, ctx := newTestRouter(t)
	answer, err := fx.caller.Generate(ctx, "summary", "bay 7", 2000, func(position int) {
		if position == 5 {
			fx.engines[0].Die()
			fx.engines[1].Die()
		}
	})
	if err != nil || answer.Outcome != "unknown" || len(answer.Tokens) < 6 {
		t.Errorf("%v, outcome %q, %d tokens", err, answer.Outcome, len(answer.Tokens))
	}
}
