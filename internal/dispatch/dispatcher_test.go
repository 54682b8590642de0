package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/service"
	"geraniumcroft/internal/sleep"
)

const pool = "permits"

// behaviour configures how a fake instance handles a call.
type behaviour struct {
	connectErr error
	connect    time.Duration
	doErr      error
	response   service.Response
	wrongID    bool
	takes      time.Duration
}

// fakeServices is a service.Client with fake instances by address. It records where calls were sent.
type fakeServices struct {
	mu         sync.Mutex
	behaviours map[string]behaviour
	sent       []string
}

func (f *fakeServices) Connect(ctx context.Context, address string, _ bool) (service.Conn, error) {
	f.mu.Lock()
	b := f.behaviours[address]
	f.mu.Unlock()
	if !sleep.For(ctx, b.connect) {
		return nil, ctx.Err()
	}
	if b.connectErr != nil {
		return nil, b.connectErr
	}
	return &fakeConn{services: f, address: address, behaviour: b}, nil
}

func (f *fakeServices) Load(context.Context, string) (engine.LoadReport, error) {
	return engine.LoadReport{}, errors.New("no report")
}

type fakeConn struct {
	services  *fakeServices
	address   string
	behaviour behaviour
}

func (c *fakeConn) Do(ctx context.Context, call service.Call) (service.Response, error) {
	c.services.mu.Lock()
	c.services.sent = append(c.services.sent, c.address)
	c.services.mu.Unlock()
	if !sleep.For(ctx, c.behaviour.takes) {
		return service.Response{}, &service.CallError{Address: c.address, Sent: true, Cause: ctx.Err()}
	}
	if c.behaviour.doErr != nil {
		return service.Response{}, c.behaviour.doErr
	}
	response := c.behaviour.response
	if response.Status == 0 {
		response.Status = 200
	}
	response.RequestID = call.RequestID
	if c.behaviour.wrongID {
		response.RequestID = "another"
	}
	return response, nil
}

func (c *fakeConn) Release() {}

// twoInstances returns a balancer over the instances a and b.
func twoInstances(inv *invariant.Registry) *balance.Balancer {
	snapshot := config.NewSnapshot()
	for _, name := range []string{"a", "b"} {
		snapshot.Targets[name] = &config.Target{
			Name: name, Address: name, Kind: config.KindService, Service: pool, Slots: 8, State: config.StateActive,
		}
	}
	b := balance.New(balance.Settings{}, inv)
	b.Update(snapshot)
	return b
}

// callResult is the outcome of a call and the instances that it was sent to.
type callResult struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	sent    []string
}

// callOnce makes one call whose first attempt goes to instance a. It also checks that an outcome "not run"
// is true, that all slots are released and that no invariant is violated.
func callOnce(t *testing.T, a, b behaviour, idempotent bool, u config.Urgency, s Settings) callResult {
	t.Helper()
	violations := invariant.NewRegistry(nil)
	balancer := twoInstances(violations)
	services := &fakeServices{behaviours: map[string]behaviour{"a": a, "b": b}}
	first, err := balancer.Reserve("a", u)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	guard := NewSendGuard("r1", idempotent, violations)
	_, err = New(services, s, violations, nil).Call(ctx, Job{
		Call: service.Call{RequestID: "r1", Idempotent: idempotent}, Urgency: u, SendGuard: guard, FirstSlot: first,
		NextSlot: func(exclude []string) (*balance.Slot, error) {
			return balancer.Pick(balance.Query{Pool: pool, Urgency: u, Exclude: exclude})
		},
	})
	synctest.Wait()
	time.Sleep(5 * time.Second)
	got := callResult{outcome: outcome.Complete, sent: services.sent}
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		got.outcome, got.reason = failure.Outcome, failure.Reason
	}
	if got.outcome == outcome.NotRun && guard.MayHaveRun() {
		t.Error("outcome is not-run although the call was sent")
	}
	for name, n := range balancer.InFlight() {
		t.Errorf("%d slots of %s were not released", n, name)
	}
	if v := violations.Total(); v != 0 && !a.wrongID {
		t.Errorf("%d invariant violations: %+v", v, violations.Report().Recent)
	}
	return got
}

// Checks the outcome and the instances that the call was sent to, for each kind of failure of
// the first instance. The second instance always responds.
func TestOutcomesByFailureOfTheFirstInstance(t *testing.T) {
	reset := &service.CallError{Sent: true, Cause: errors.New("connection reset")}
	rows := []struct {
		shows      string
		first      behaviour
		idempotent bool
		urgency    config.Urgency
		want       callResult
	}{
		{"a response is returned", behaviour{}, false, config.Urgent, callResult{outcome.Complete, "", []string{"a"}}},
		{"a failed connect proves that it did not run", behaviour{connectErr: errors.New("refused")}, false, config.Urgent,
			callResult{outcome.Complete, "", []string{"b"}}},
		{"a reset after sending is unknown and not retried", behaviour{doErr: reset}, false, config.Urgent,
			callResult{outcome.Unknown, outcome.ReasonTargetFailed, []string{"a"}}},
		{"a 5xx status is unknown and not retried", behaviour{response: service.Response{Status: 503}}, false, config.Urgent,
			callResult{outcome.Unknown, outcome.ReasonTargetFailed, []string{"a"}}},
		{"a slow response is not hedged", behaviour{takes: 700 * time.Millisecond}, false, config.Urgent,
			callResult{outcome.Complete, "", []string{"a"}}},
		{"silence up to the deadline is unknown", behaviour{takes: time.Hour}, false, config.Urgent,
			callResult{outcome.Unknown, outcome.ReasonDeadline, []string{"a"}}},
		{"a call declared as not run is retried elsewhere", behaviour{response: service.Response{NotRun: true}}, false, config.Urgent,
			callResult{outcome.Complete, "", []string{"a", "b"}}},
		{"a not-run declaration for another request does not count", behaviour{wrongID: true, response: service.Response{NotRun: true}}, false, config.Urgent,
			callResult{outcome.Unknown, outcome.ReasonTargetFailed, []string{"a"}}},
		{"the response to another request is not returned", behaviour{wrongID: true}, false, config.Urgent,
			callResult{outcome.Unknown, outcome.ReasonTargetFailed, []string{"a"}}},
		{"idempotent: a reset is retried elsewhere", behaviour{doErr: reset}, true, config.Normal,
			callResult{outcome.Complete, "", []string{"a", "b"}}},
		{"idempotent and urgent: a slow response is hedged", behaviour{takes: 700 * time.Millisecond}, true, config.Urgent,
			callResult{outcome.Complete, "", []string{"a", "b"}}},
		{"idempotent and normal: a slow response is not hedged", behaviour{takes: 700 * time.Millisecond}, true, config.Normal,
			callResult{outcome.Complete, "", []string{"a"}}},
	}
	for _, row := range rows {
		t.Run(row.shows, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := callOnce(t, row.first, behaviour{}, row.idempotent, row.urgency, DefaultSettings())
				if fmt.Sprint(got) != fmt.Sprint(row.want) {
					t.Errorf("got %v, want %v", got, row.want)
				}
			})
		})
	}
}

// Guards against a call that is sent after the outcome "not run" was reported. The attempt is
// still connecting at the deadline and gets its connection afterwards. Because the send guard
// is closed before the outcome is reported, the attempt must not send the call.
func TestCallIsNotSentAfterOutcomeNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		settings.ConnectTimeout = time.Hour
		got := callOnce(t, behaviour{connect: 2 * time.Second}, behaviour{}, false, config.Urgent, settings)
		want := callResult{outcome.NotRun, outcome.ReasonDeadline, nil}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// Guards against retries that double the load when every first attempt fails, so that an
// overload sustains itself. The budget must limit retries to a share of the requests.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	Convey("Given a budget of a tenth and a thousand requests that all retry", t, func() {
		budget := NewRetryBudget(0.1, 20, 0)
		taken := 0
		for range 1000 {
			budget.Credit(config.Normal)
			if budget.Take(config.Normal) {
				taken++
			}
		}

		Convey("a tenth of the retries is allowed", func() {
			So(taken, ShouldBeBetweenOrEqual, 90, 100)
		})

		Convey("urgent requests do not use the budget of normal ones", func() {
			So(budget.Take(config.Urgent), ShouldBeFalse)
		})
	})
}

// Guards against retries and hedges of an idempotent call beyond MaxAttempts or the common
// budget, which would send each request twice in an overload. The first instance fails, and
// the second one would respond.
func TestNoRetryBeyondTheBounds(t *testing.T) {
	reset := behaviour{doErr: &service.CallError{Sent: true, Cause: errors.New("connection reset")}}
	slow := behaviour{takes: 700 * time.Millisecond}
	oneAttempt, noBudget := DefaultSettings(), DefaultSettings()
	oneAttempt.MaxAttempts = 1
	noBudget.BudgetShare, noBudget.BudgetBurst, noBudget.BudgetPerSecond = 0, 0, 0
	for name, settings := range map[string]Settings{"attempts": oneAttempt, "budget": noBudget} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := callOnce(t, reset, behaviour{}, true, config.Urgent, settings)
				want := callResult{outcome.Unknown, outcome.ReasonTargetFailed, []string{"a"}}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("after a reset got %v, want %v", got, want)
				}
				got = callOnce(t, slow, behaviour{}, true, config.Urgent, settings)
				want = callResult{outcome.Complete, "", []string{"a"}}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("hedged: got %v, want %v", got, want)
				}
			})
		})
	}
}

// Guards against a second send of a call that is not idempotent, as a fault in the logic of the
// attempts might cause. The guard must refuse it and report the violation.
func TestSecondSendIsRefusedAndReported(t *testing.T) {
	Convey("Given a guard after one send", t, func() {
		violations := invariant.NewRegistry(nil)
		guard := NewSendGuard("r1", false, violations)
		So(guard.BeginSend(), ShouldBeTrue)
		So(violations.Total(), ShouldEqual, 0)

		Convey("a second send is refused and reported", func() {
			So(guard.BeginSend(), ShouldBeFalse)
			So(violations.Report().Counts[invariant.OneDispatch], ShouldEqual, 1)
		})
	})
}
