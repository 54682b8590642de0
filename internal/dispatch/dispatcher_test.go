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

// behaviour is what a fake instance does with a call.
type behaviour struct {
	connectErr error
	connect    time.Duration
	doErr      error
	response   service.Response
	wrongID    bool
	takes      time.Duration
}

// fakeServices is a service.Client whose instances are known by address.
type fakeServices struct {
	mu   sync.Mutex
	by   map[string]behaviour
	sent []string
}

func (f *fakeServices) Connect(ctx context.Context, address string, _ bool) (service.Conn, error) {
	f.mu.Lock()
	b := f.by[address]
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

func (c *fakeConn) Discard() {}

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

type outcomeOf struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	sent    []string
}

// callOnce makes one call that goes to a first; sent lists the instances it reached.
func callOnce(t *testing.T, a, b behaviour, idempotent bool, u config.Urgency, s Settings) outcomeOf {
	t.Helper()
	violations := invariant.NewRegistry(nil)
	balancer := twoInstances(violations)
	services := &fakeServices{by: map[string]behaviour{"a": a, "b": b}}
	first, err := balancer.Reserve("a", u)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	boundary := NewSendGuard("r1", idempotent, violations)
	_, err = New(services, s, violations, nil).Call(ctx, Job{
		Call: service.Call{RequestID: "r1", Idempotent: idempotent}, Urgency: u, SendGuard: boundary, FirstSlot: first,
		NextSlot: func(exclude []string) (*balance.Slot, error) {
			return balancer.Pick(balance.Query{Pool: pool, Urgency: u, Exclude: exclude})
		},
	})
	synctest.Wait()
	time.Sleep(5 * time.Second)
	got := outcomeOf{outcome: outcome.Complete, sent: services.sent}
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		got.outcome, got.reason = failure.Outcome, failure.Reason
	}
	if got.outcome == outcome.NotRun && boundary.MayHaveRun() {
		t.Error("told not-run although it was sent")
	}
	for name, n := range balancer.InFlight() {
		t.Errorf("%d slots of %s were not given back", n, name)
	}
	if v := violations.Total(); v != 0 && !a.wrongID {
		t.Errorf("%d violations: %+v", v, violations.Report().Recent)
	}
	return got
}

// What the caller is told, and where the call was sent, for each way in which
// the first instance fails. The second one always works.
func TestOutcomesByFailureOfTheFirstInstance(t *testing.T) {
	reset := &service.CallError{Sent: true, Cause: errors.New("connection reset")}
	rows := []struct {
		shows      string
		first      behaviour
		idempotent bool
		urgency    config.Urgency
		want       outcomeOf
	}{
		{"the answer comes back", behaviour{}, false, config.Urgent, outcomeOf{outcome.Complete, "", []string{"a"}}},
		{"a failed connect proves that it did not run", behaviour{connectErr: errors.New("refused")}, false, config.Urgent,
			outcomeOf{outcome.Complete, "", []string{"b"}}},
		{"a reset after sending is unknown and never sent again", behaviour{doErr: reset}, false, config.Urgent,
			outcomeOf{outcome.Unknown, outcome.ReasonTargetFailed, []string{"a"}}},
		{"a 5xx is unknown and never sent again", behaviour{response: service.Response{Status: 503}}, false, config.Urgent,
			outcomeOf{outcome.Unknown, outcome.ReasonTargetFailed, []string{"a"}}},
		{"a slow answer is not hedged", behaviour{takes: 700 * time.Millisecond}, false, config.Urgent,
			outcomeOf{outcome.Complete, "", []string{"a"}}},
		{"silence up to the deadline is unknown", behaviour{takes: time.Hour}, false, config.Urgent,
			outcomeOf{outcome.Unknown, outcome.ReasonDeadline, []string{"a"}}},
		{"declared as not run, it may go elsewhere", behaviour{response: service.Response{NotRun: true}}, false, config.Urgent,
			outcomeOf{outcome.Complete, "", []string{"a", "b"}}},
		{"another request's declaration proves nothing of this one", behaviour{wrongID: true, response: service.Response{NotRun: true}}, false, config.Urgent,
			outcomeOf{outcome.Unknown, outcome.ReasonTargetFailed, []string{"a"}}},
		{"another request's answer is not handed out", behaviour{wrongID: true}, false, config.Urgent,
			outcomeOf{outcome.Unknown, outcome.ReasonTargetFailed, []string{"a"}}},
		{"idempotent: a reset is retried elsewhere", behaviour{doErr: reset}, true, config.Normal,
			outcomeOf{outcome.Complete, "", []string{"a", "b"}}},
		{"idempotent and urgent: a slow answer is hedged", behaviour{takes: 700 * time.Millisecond}, true, config.Urgent,
			outcomeOf{outcome.Complete, "", []string{"a", "b"}}},
		{"idempotent and normal: a slow answer is waited for", behaviour{takes: 700 * time.Millisecond}, true, config.Normal,
			outcomeOf{outcome.Complete, "", []string{"a"}}},
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

// The caller is told at its deadline that the call did not run. Its attempt was
// still connecting and gets its connection a moment later. Were it then sent, a
// call that was told as not run would run; the boundary was closed first, so the
// attempt gives up.
func TestNotRunStaysTrueWhenTheConnectionComesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		settings.ConnectTimeout = time.Hour
		got := callOnce(t, behaviour{connect: 2 * time.Second}, behaviour{}, false, config.Urgent, settings)
		want := outcomeOf{outcome.NotRun, outcome.ReasonDeadline, nil}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// Every first attempt fails. Without a budget each request would be sent twice
// and an overload would feed itself; with it the extra attempts stay a share.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	Convey("Given a budget of a tenth, and a thousand requests that would all retry", t, func() {
		budget := NewRetryBudget(0.1, 20, 0)
		taken := 0
		for range 1000 {
			budget.Credit(config.Normal)
			if budget.Take(config.Normal) {
				taken++
			}
		}

		Convey("a tenth of them does", func() {
			So(taken, ShouldBeBetweenOrEqual, 90, 100)
		})

		Convey("urgent requests draw on nothing that normal ones have earned", func() {
			So(budget.Take(config.Urgent), ShouldBeFalse)
		})
	})
}

// An idempotent call fails on its first instance, and a second one would answer.
// It is not sent again once its attempts, or the budget that all requests share, are
// used up: in an overload each request would otherwise come twice.
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
				want := outcomeOf{outcome.Unknown, outcome.ReasonTargetFailed, []string{"a"}}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("after a reset got %v, want %v", got, want)
				}
				got = callOnce(t, slow, behaviour{}, true, config.Urgent, settings)
				want = outcomeOf{outcome.Complete, "", []string{"a"}}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("hedged: got %v, want %v", got, want)
				}
			})
		})
	}
}

// Two attempts of a call that is not idempotent race to be sent, as a mistake in
// the attempts' logic would have them. Only one passes, and it is reported.
func TestSecondCrossingIsStoppedAndReported(t *testing.T) {
	Convey("Given a boundary that one attempt has crossed", t, func() {
		violations := invariant.NewRegistry(nil)
		boundary := NewSendGuard("r1", false, violations)
		So(boundary.BeginSend(), ShouldBeTrue)
		So(violations.Total(), ShouldEqual, 0)

		Convey("a second attempt is stopped and reported", func() {
			So(boundary.BeginSend(), ShouldBeFalse)
			So(violations.Report().Counts[invariant.OneDispatch], ShouldEqual, 1)
		})
	})
}
