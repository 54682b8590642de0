package generation

import (
	"testing"
	"testing/synctest"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
)

// An engine violates the protocol at token 5. The event is not passed to the caller, the
// violation is counted if it breaks an invariant, and another engine completes the
// response. Otherwise the caller would get a wrong response in each of these cases.
func TestWrongEventsNeverReachTheCaller(t *testing.T) {
	onToken := func(change func(e *engine.Event)) func(*engine.Event) {
		return func(e *engine.Event) {
			if e.Kind == engine.EventToken && e.Position == 5 {
				change(e)
			}
		}
	}
	for name, test := range map[string]struct {
		corrupt func(*engine.Event)
		broken  invariant.Name
	}{
		"another request's token": {onToken(func(e *engine.Event) { e.RequestID = "other" }), invariant.AnswerMatchesRequest},
		"a token left out":        {onToken(func(e *engine.Event) { e.Position = 6 }), invariant.NoTokenGapOrRepeat},
		"a stage left out":        {onToken(func(e *engine.Event) { e.Trace = e.Trace[1:] }), invariant.LayersOnceInOrder},
		"a layer run twice":       {onToken(func(e *engine.Event) { e.Trace[0].Layers.To++ }), invariant.LayersOnceInOrder},
		"stages out of order":     {onToken(func(e *engine.Event) { e.Trace[0], e.Trace[1] = e.Trace[1], e.Trace[0] }), invariant.LayersOnceInOrder},
		"another engine's work":   {onToken(func(e *engine.Event) { e.Trace[0].Target = "a2" }), invariant.LayersOnceInOrder},
		"an older epoch's work":   {onToken(func(e *engine.Event) { e.Trace[0].Epoch-- }), invariant.LayersOnceInOrder},
		"an epoch to come":        {onToken(func(e *engine.Event) { e.Epoch++ }), ""},
		"an early end": {onToken(func(e *engine.Event) {
			*e = engine.Event{Kind: engine.EventDone, RequestID: e.RequestID, Epoch: e.Epoch, Finish: finishLength}
		}), ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, twoHalves...)
			r.cluster.corrupt = func(target string, e *engine.Event) {
				if target == "b1" {
					test.corrupt(e)
				}
			}
			sink := &checkedSink{id: "q"}
			result, err := r.runner.Run(t.Context(), r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
			if err != nil || result.Tokens != 12 || sink.tokenErr != nil || result.Epochs != 2 {
				t.Errorf("%s: %+v, %v, %v", name, result, err, sink.tokenErr)
			}
			for _, each := range invariant.All {
				want := uint64(0)
				if each == test.broken {
					want = 1
				}
				if got := r.inv.Report().Counts[each]; got != want {
					t.Errorf("%s: %s violated %d times", name, each, got)
				}
			}
			r.runner.Wait()
		})
	}
}

// An engine continues after the last requested token. The caller gets no more tokens than
// requested, and the response is complete.
func TestTokensBeyondMaxTokensAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		var last engine.Event
		r.cluster.corrupt = func(target string, e *engine.Event) {
			switch e.Kind {
			case engine.EventToken:
				last = *e
			case engine.EventDone:
				if target == "b1" {
					*e = last
					e.Position++
					e.Text = tokenText("q", e.Position)
				}
			}
		}
		sink := &checkedSink{id: "q"}
		result, err := r.runner.Run(t.Context(), r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if err != nil || sink.next != 12 || result.Finish != finishLength {
			t.Errorf("%+v, %v, %d tokens", result, err, sink.next)
		}
		r.runner.Wait()
	})
}

// A placement that omits layers or runs some of them twice is refused before any stage
// is opened, so the outcome not-run is true.
func TestPlacementThatDoesNotCoverIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "a1:0-6", "b1:6-12", "w1:0-12")
		for name, first := range map[string]Placement{
			"the last layers are missing": r.stages("a1:0-6", "b1:6-10"),
			"a layer between is missing":  r.stages("a1:0-5", "b1:6-12"),
			"a layer runs twice":          r.stages("a1:0-6", "w1:5-12"),
		} {
			job := r.job("q", 12, first)
			job.Layers = 12
			result, err := r.runner.Run(t.Context(), job, &checkedSink{id: "q"})
			expectFailure(t, err, outcome.NotRun, outcome.ReasonInternal)
			if result.Epochs != 0 || len(r.cluster.opens) != 0 {
				t.Errorf("%s: %+v", name, result)
			}
		}
	})
}
