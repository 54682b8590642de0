package generation

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/outcome"
)

// The caller disconnects. All stages are cancelled and all slots are released.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := &checkedSink{id: "q", onToken: func(p int) error {
			if p == 5 {
				return errors.New("gone")
			}
			return nil
		}}
		result, err := r.runner.Run(t.Context(), r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		expectFailure(t, err, outcome.Unknown, outcome.ReasonCallerGone)
		sink.next = result.Tokens // the token that the sink rejected is not committed
		if checkErr := r.check(sink, result, err, 12); checkErr != nil {
			t.Error(checkErr)
		}
	})
}

// The caller's deadline passes while both engines send nothing but heartbeats.
func TestDeadlineEndsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := actAfterToken("q", 5, func() { r.cluster.update("a1", func(e *fakeEngine) { e.stalled = true }) })
		job := r.job("q", 12, r.stages("a1:0-6", "b1:6-12"))
		started := time.Now()
		job.Deadline = started.Add(time.Second)
		result, err := r.runner.Run(t.Context(), job, sink)
		expectFailure(t, err, outcome.Unknown, outcome.ReasonDeadline)
		if took := time.Since(started); took > time.Second {
			t.Errorf("ended after %v of virtual time", took)
		}
		if checkErr := r.check(sink, result, err, 12); checkErr != nil {
			t.Error(checkErr)
		}
	})
}

// The outcome if no stage could be opened is not-run if all engines refused, and
// unknown if an engine may have started. In the latter case RetryAfter is set only if
// the request is idempotent.
func TestOutcomeOfARunThatCannotStart(t *testing.T) {
	refuse := func(r *rig) { r.cluster.update("w1", func(e *fakeEngine) { e.refuse = 1000 }) }
	hang := func(r *rig) { r.cluster.update("w1", func(e *fakeEngine) { e.hung = true }) }
	for name, test := range map[string]struct {
		fault      func(*rig)
		idempotent bool
		want       outcome.Outcome
		retry      bool
	}{
		"refused":                {refuse, false, outcome.NotRun, true},
		"no answer":              {hang, false, outcome.Unknown, false},
		"no answer, idempotent":  {hang, true, outcome.Unknown, true},
		"connections are denied": {func(r *rig) { r.cluster.kill("w1") }, false, outcome.NotRun, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, "w1:0-12")
			test.fault(r)
			job := r.job("q", 12, r.stages("w1:0-12"))
			job.Idempotent = test.idempotent
			job.NextPlacement = func(context.Context, []string) (Placement, error) {
				return nil, outcome.Refuse(outcome.ReasonOverloaded, "full").WithRetryAfter(time.Second)
			}
			sink := &checkedSink{id: "q"}
			result, err := r.runner.Run(t.Context(), job, sink)
			expectFailure(t, err, test.want, outcome.ReasonOverloaded)
			var failure *outcome.Failure
			if errors.As(err, &failure); (failure.RetryAfter > 0) != test.retry {
				t.Errorf("%s: retry after %v", name, failure.RetryAfter)
			}
			if checkErr := r.check(sink, result, err, 12); checkErr != nil {
				t.Errorf("%s: %v", name, checkErr)
			}
		})
	}
}

// The last stage fails between its last token and the done event. The caller has all
// tokens, so the run is complete and starts no further epoch.
func TestMissingDoneEventAfterLastToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := actAfterToken("q", 11, func() { r.cluster.kill("b1") })
		r.cluster.corrupt = func(_ string, e *engine.Event) {
			if e.Kind == engine.EventDone {
				e.Kind = engine.EventHeartbeat
			}
		}
		result := runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 1 || result.Finish != finishLength {
			t.Errorf("%+v", result)
		}
	})
}

// A stage opens while another one fails. Its stream must be closed too, or its engine
// continues to work although no one reads the results.
func TestStreamOpenedAfterCloseIsClosed(t *testing.T) {
	r := newRig(t, twoHalves...)
	e := newEpoch(t.Context(), 1, r.stages("a1:0-6", "b1:6-12").Stages())
	e.close()
	stream := &instantStream{closed: make(chan struct{})}
	if e.addStream(0, stream) {
		t.Error("the closed epoch accepted the stream")
	}
	select {
	case <-stream.closed:
	default:
		t.Error("the stream was not closed")
	}
}

// The last stage was opened and the first one refused. No layer has run, because the
// last stage had no input, so the outcome not-run is true.
func TestLastStageAloneDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "a1:0-6", "b1:6-12")
		r.cluster.update("a1", func(e *fakeEngine) {
			e.refuse = 1
			e.onOpen = func(engine.StageOpen) { time.Sleep(time.Second) }
		})
		r.onReplace = func(context.Context) error { return outcome.Refuse(outcome.ReasonOverloaded, "full") }
		sink := &checkedSink{id: "q"}
		result, err := r.runner.Run(t.Context(), r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		expectFailure(t, err, outcome.NotRun, outcome.ReasonOverloaded)
		if checkErr := r.check(sink, result, err, 12); checkErr != nil {
			t.Error(checkErr)
		}
	})
}

func expectFailure(t *testing.T, err error, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	var failure *outcome.Failure
	if !errors.As(err, &failure) || failure.Outcome != want || failure.Reason != reason {
		t.Fatalf("failure %v, want outcome %v, reason %v", err, want, reason)
	}
}
