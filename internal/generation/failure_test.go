package generation

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/outcome"
)

var twoHalves = []string{"a1:0-6", "a2:0-6", "b1:6-12", "b2:6-12"}

// at returns a sink that runs act once, after the token at position.
func at(id string, position int, act func()) *checkedSink {
	return &checkedSink{id: id, onToken: func(p int) error {
		if p == position {
			act()
		}
		return nil
	}}
}

// runWhole runs the job and expects the whole answer.
func runWhole(t *testing.T, r *rig, job Job, sink *checkedSink) Result {
	t.Helper()
	result, err := r.runner.Run(t.Context(), job, sink)
	if err != nil {
		t.Errorf("run: %v", err)
	}
	if wrong := r.verdict(sink, result, err, job.MaxTokens); wrong != nil {
		t.Error(wrong)
	}
	return result
}

// The engine of the first stage dies after token 5. Its stream breaks, the epoch
// rises, another engine takes its layers and replays prompt and 6 tokens; the
// caller sees a pause and then token 6, because the run goes on at the next position.
func TestStageDiesMidDraft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := at("q", 5, func() { r.cluster.kill("a1") })
		result := runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 2 || !slices.Equal(r.excluded[0], []string{"a1"}) {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
		reopened := r.cluster.opensOf("a2")
		if len(reopened) != 1 || len(reopened[0].Committed) != 6 || reopened[0].Epoch != 2 || reopened[0].ImportKVFrom != "" {
			t.Errorf("opened at a2: %+v", reopened)
		}
		if kept := r.cluster.opensOf("b1"); kept[1].ImportKVFrom != "" {
			t.Errorf("b1 was asked to import from %s what it holds itself", kept[1].ImportKVFrom)
		}
		if r.released[0]["a1"] != balance.ResultFailed || len(r.released[0]) != 1 {
			t.Errorf("released %v", r.released)
		}
	})
}

// The connection to the first stage is forgotten by something on the way: no
// event comes and no reset. The run notices after the silence bound and opens the
// same stage on a new connection; the engine works, so it keeps its place.
func TestStageSilentIsProvenAgainAtItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := at("q", 5, func() { r.cluster.silence("a1") })
		result := runWhole(t, r, r.job("q", 200, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 2 || len(r.excluded) != 0 || len(r.cluster.opensOf("a1")) != 2 {
			t.Errorf("%d epochs, excluded %v, %d opens", result.Epochs, r.excluded, len(r.cluster.opensOf("a1")))
		}
	})
}

// The engine itself hangs: its streams go silent and new connections bring no
// answer. The new proof fails within its short bound, and only then the target is
// excluded; the caller waits for the silence and the proof, not for the open bound.
func TestStageSilentTwiceIsExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		var hung, next time.Time
		sink := &checkedSink{id: "q", onToken: func(p int) error {
			if p == 5 {
				r.cluster.hang("b1")
				hung = time.Now()
			}
			if p == 6 {
				next = time.Now()
			}
			return nil
		}}
		result := runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 3 || !slices.Equal(r.excluded[0], []string{"b1"}) {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
		if took := next.Sub(hung); took > fakeIdle+DefaultReproveTimeout+100*time.Millisecond {
			t.Errorf("recovered after %v of virtual time", took)
		}
	})
}

// A stage goes silent and its engine, which is leaving, takes no new connection.
// A close cannot reach the old stage there. The run moves on, and its cancel, on a
// connection of its own, frees what the engine works on for nobody.
func TestSilentStageIsCancelledAtItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		r.cluster.update("a1", func(e *fakeEngine) {
			e.onOpen = func(open engine.StageOpen) {
				if open.Epoch == 2 {
					r.cluster.update("a1", func(e *fakeEngine) { e.refuse++ })
				}
			}
		})
		sink := at("q", 5, func() { r.cluster.silence("a1") })
		runWhole(t, r, r.job("q", 200, r.stages("a1:0-6", "b1:6-12")), sink)
		if !slices.Equal(r.excluded[0], []string{"a1"}) || r.released[0]["a1"] != balance.ResultNeutral {
			t.Errorf("excluded %v, released %v", r.excluded, r.released)
		}
	})
}

// Both engines of a draft hang at the same moment, as when a rack loses its switch.
// The run learns of them one after the other, but gives each only the short bound
// of a new proof: the second had not opened either while the first was proven.
func TestTwoHungStagesCostOneProofEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		var hung, next time.Time
		sink := &checkedSink{id: "q", onToken: func(p int) error {
			switch p {
			case 5:
				r.cluster.hang("a1")
				r.cluster.hang("b1")
				hung = time.Now()
			case 6:
				next = time.Now()
			}
			return nil
		}}
		runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if took := next.Sub(hung); took > fakeIdle+2*DefaultReproveTimeout+100*time.Millisecond {
			t.Errorf("recovered after %v of virtual time", took)
		}
	})
}

// Every connection to an engine goes silent, also the new ones, though they open.
// One new proof is all that it gets; the caller is answered by another engine.
func TestSilentAgainAfterTheProofIsExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		r.cluster.update("b1", func(e *fakeEngine) { e.mute = true })
		result := runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), &checkedSink{id: "q"})
		if result.Epochs != 3 || !slices.Equal(r.excluded[0], []string{"b1"}) {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
	})
}

// The last stage reports an error. It may blame the stage before it, whose
// activations stopped: then that one is replaced. A blame that names no stage is
// taken as its own.
func TestBlameNamesTheStageToReplace(t *testing.T) {
	for blame, want := range map[int]string{0: "a1", 1: "b1", 7: "b1", -1: "b1"} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, twoHalves...)
			r.cluster.corrupt = func(target string, e *engine.Event) {
				if target == "b1" && e.Epoch == 1 && e.Position == 5 {
					e.Kind, e.Blame = engine.EventError, blame
				}
			}
			runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), &checkedSink{id: "q"})
			if !slices.Equal(r.excluded[0], []string{want}) {
				t.Errorf("blame %d excluded %v", blame, r.excluded)
			}
		})
	}
}

// The first stage dies, and the engine that replaces it dies while it replays. The
// second failure is like the first: the epoch rises again, both are left out, and
// the third engine gets the same committed tokens.
func TestReplacementDiesDuringReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "a1:0-6", "a2:0-6", "a3:0-6", "b1:6-12")
		die := func(name string) func(engine.StageOpen) {
			return func(open engine.StageOpen) {
				if open.Epoch == 2 {
					r.cluster.kill(name)
				}
			}
		}
		for _, name := range []string{"a2", "a3"} {
			r.cluster.update(name, func(e *fakeEngine) { e.onOpen = die(name) })
		}
		sink := at("q", 5, func() { r.cluster.kill("a1") })
		result := runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 3 || len(r.excluded[1]) != 2 {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
	})
}

// After the epoch rose, the last stage's old token, an old error and an old end
// arrive on the new stream. All are dropped and counted; the caller sees no token
// twice and the answer does not end early. Without the epoch fence the planted
// fault must show as a violated invariant.
func TestLateEventsOfAnOldEpoch(t *testing.T) {
	for _, planted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, twoHalves...)
			r.cluster.staleEvents, r.cluster.duplicates = true, true
			r.runner.acceptOldEpochs = planted
			sink := at("q", 5, func() { r.cluster.kill("a1") })
			job := r.job("q", 12, r.stages("a1:0-6", "b1:6-12"))
			if planted {
				_, _ = r.runner.Run(t.Context(), job, sink)
				r.runner.Wait()
				if r.inv.Total() == 0 {
					t.Error("no invariant caught the planted fault")
				}
				return
			}
			told := 0
			r.runner.settings.OnStaleEvent = func() { told++ }
			runWhole(t, r, job, sink)
			if stats := r.runner.Stats(); stats.StaleEvents != 3 || told != 3 || stats.Duplicates == 0 {
				t.Errorf("%+v, told of %d stale events", stats, told)
			}
		})
	}
}

// A bulk draft is preempted while it waits for a replacement, holding nothing.
// The preemption must not be lost when it comes later, on the new placement: the
// run gives that up at once, waits again and still delivers each token once.
func TestPreemptionWhileRecovering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		preempt := make(chan struct{}, 1)
		r.onReplace = func(context.Context) error {
			if len(r.excluded) == 1 {
				preempt <- struct{}{}
			}
			return nil
		}
		sink := at("q", 5, func() { r.cluster.kill("a1") })
		job := r.job("q", 12, r.stages("a1:0-6", "b1:6-12"))
		job.Preempt = preempt
		result := runWhole(t, r, job, sink)
		if stats := r.runner.Stats(); result.Epochs != 3 || stats.Preemptions != 1 || len(r.excluded) != 2 {
			t.Errorf("%d epochs, %+v, excluded %v", result.Epochs, stats, r.excluded)
		}
	})
}

// An urgent request takes a draft's slots. The draft's engines keep its KV cache;
// it resumes elsewhere later and imports from them instead of replaying. When the
// import fails, the next epoch replays: the source may be what is wrong.
func TestPreemptedDraftImportsItsKV(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "w1:0-12", "w2:0-12", "w3:0-12")
		preempt := make(chan struct{}, 1)
		fails := 1
		for _, name := range []string{"w2", "w3"} {
			r.cluster.update(name, func(e *fakeEngine) {
				e.onOpen = func(open engine.StageOpen) {
					if open.ImportKVFrom != "" && fails > 0 {
						fails--
						r.cluster.update(name, func(e *fakeEngine) { e.refuse++ })
					}
				}
			})
		}
		r.cluster.update("w1", func(e *fakeEngine) {
			e.onOpen = func(open engine.StageOpen) {
				if open.Epoch > 1 {
					t.Error("resumed at the target that was given up")
				}
			}
		})
		job := r.job("q", 12, r.stages("w1:0-12"))
		job.Preempt = preempt
		job.Replace = func(_ context.Context, exclude []string) (Placement, error) {
			return r.choose(append(exclude, "w1"))
		}
		result := runWhole(t, r, job, at("q", 5, func() { preempt <- struct{}{} }))
		opens := r.cluster.opens
		if result.Epochs != 3 || opens[1].open.ImportKVFrom != "w1" || opens[2].open.ImportKVFrom != "" {
			t.Errorf("%d epochs, opens %+v", result.Epochs, opens)
		}
		if !opens[0].open.KeepKV {
			t.Error("the engine was not asked to keep KV cache")
		}
	})
}

// A draft is preempted again before its second engine made a token. That engine
// has no KV cache of it worth importing; the third imports from the first.
func TestImportComesFromAnEngineThatMadeTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "w1:0-12", "w2:0-12", "w3:0-12")
		preempt := make(chan struct{}, 1)
		r.cluster.update("w2", func(e *fakeEngine) {
			e.onOpen = func(engine.StageOpen) { preempt <- struct{}{} }
		})
		next := []string{"w2:0-12", "w3:0-12"}
		job := r.job("q", 12, r.stages("w1:0-12"))
		job.Preempt = preempt
		job.Replace = func(context.Context, []string) (Placement, error) {
			placement := r.stages(next[0])
			next = next[1:]
			return placement, nil
		}
		runWhole(t, r, job, at("q", 5, func() { preempt <- struct{}{} }))
		if source := r.cluster.opensOf("w3")[0].ImportKVFrom; source != "w1" {
			t.Errorf("w3 imports from %q", source)
		}
	})
}

// A draft is preempted over and over. It ends after a bounded number of epochs;
// the caller is told unknown, because it ran in part.
func TestPreemptionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		r.runner = New(r.cluster, Settings{MaxEpochs: 4}, r.inv)
		preempt := make(chan struct{}, 1)
		sink := &checkedSink{id: "q", onToken: func(int) error {
			preempt <- struct{}{}
			return nil
		}}
		job := r.job("q", 12, r.stages("a1:0-6", "b1:6-12"))
		job.Preempt = preempt
		result, err := r.runner.Run(t.Context(), job, sink)
		expectFailure(t, err, outcome.Unknown, outcome.ReasonOverloaded)
		if result.Epochs != 4 {
			t.Errorf("%d epochs", result.Epochs)
		}
		if wrong := r.verdict(sink, result, err, 12); wrong != nil {
			t.Error(wrong)
		}
	})
}

// Both stages live and send heartbeats, but no token comes: one of them is stuck,
// and nothing tells which. After the bound between tokens neither is used again.
func TestSlowStagesCountAsFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := at("q", 5, func() { r.cluster.update("a1", func(e *fakeEngine) { e.stalled = true }) })
		runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if !slices.Equal(r.excluded[0], []string{"a1", "b1"}) || r.released[0]["b1"] != balance.ResultSlow {
			t.Errorf("excluded %v, released %v", r.excluded, r.released)
		}
	})
}

// The only engine for some layers dies and comes back. There is no other target,
// so the exclusion is lifted after a pause and the draft goes on where it was.
func TestOnlyTargetComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "a1:0-6", "b1:6-12")
		sink := at("q", 5, func() {
			r.cluster.kill("a1")
			time.AfterFunc(200*time.Millisecond, func() {
				r.cluster.update("a1", func(e *fakeEngine) { e.dead = false })
			})
		})
		runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
	})
}

// The caller hangs up. Every stage is cancelled and every slot given back.
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
		sink.next = result.Tokens // the token that the sink refused is not committed
		if wrong := r.verdict(sink, result, err, 12); wrong != nil {
			t.Error(wrong)
		}
	})
}

// The caller's deadline passes while both engines send nothing but heartbeats.
func TestDeadlineEndsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := at("q", 5, func() { r.cluster.update("a1", func(e *fakeEngine) { e.stalled = true }) })
		job := r.job("q", 12, r.stages("a1:0-6", "b1:6-12"))
		started := time.Now()
		job.Deadline = started.Add(time.Second)
		result, err := r.runner.Run(t.Context(), job, sink)
		expectFailure(t, err, outcome.Unknown, outcome.ReasonDeadline)
		if took := time.Since(started); took > time.Second {
			t.Errorf("ended after %v of virtual time", took)
		}
		if wrong := r.verdict(sink, result, err, 12); wrong != nil {
			t.Error(wrong)
		}
	})
}

// What a caller is told when no stage could be opened: not-run if all engines
// refused, unknown if one may have begun, and then without the advice to try again
// unless the request may run twice.
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
			job.Replace = func(context.Context, []string) (Placement, error) {
				return nil, outcome.Refuse(outcome.ReasonOverloaded, "full").WithRetryAfter(time.Second)
			}
			sink := &checkedSink{id: "q"}
			result, err := r.runner.Run(t.Context(), job, sink)
			expectFailure(t, err, test.want, outcome.ReasonOverloaded)
			var failure *outcome.Failure
			if errors.As(err, &failure); (failure.RetryAfter > 0) != test.retry {
				t.Errorf("%s: retry after %v", name, failure.RetryAfter)
			}
			if wrong := r.verdict(sink, result, err, 12); wrong != nil {
				t.Errorf("%s: %v", name, wrong)
			}
		})
	}
}

// A caller reads slowly: the sink takes 10 s for a token. The engines are not to
// blame, so nothing is excluded and no token is made twice.
func TestSlowCallerIsNotASlowEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := at("q", 5, func() { time.Sleep(10 * time.Second) })
		if result := runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink); result.Epochs != 1 {
			t.Errorf("%d epochs", result.Epochs)
		}
	})
}

// The last stage dies between its last token and the end event. The caller has
// all tokens, so the run is complete and opens nothing more.
func TestOnlyTheEndIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := at("q", 11, func() { r.cluster.kill("b1") })
		r.cluster.corrupt = func(_ string, e *engine.Event) {
			if e.Kind == engine.EventDone {
				e.Kind = engine.EventHeartbeat
			}
		}
		result := runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 1 || result.Finish != finishLength {
			t.Errorf("%+v", result)
		}
	})
}

// Every engine takes the stage and breaks at once. The run gives up after a
// bounded number of failures; the caller is told unknown, because engines began.
func TestFailuresAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "w1:0-12", "w2:0-12")
		r.cluster.corrupt = func(_ string, e *engine.Event) { e.Kind = engine.EventError }
		sink := &checkedSink{id: "q"}
		result, err := r.runner.Run(t.Context(), r.job("q", 12, r.stages("w1:0-12")), sink)
		expectFailure(t, err, outcome.Unknown, outcome.ReasonTargetFailed)
		if result.Epochs != DefaultMaxRecoveries+1 {
			t.Errorf("%d epochs", result.Epochs)
		}
		if wrong := r.verdict(sink, result, err, 12); wrong != nil {
			t.Error(wrong)
		}
	})
}

// A stream goes silent and the draft is preempted at the same moment. A silence
// alone keeps the slots for a new proof; the urgent request that waits for them
// must get them all the same.
func TestPreemptionAtTheMomentOfASilence(t *testing.T) {
	r := newRig(t, twoHalves...)
	first := r.stages("a1:0-6", "b1:6-12")
	state := newRun(t.Context(), r.runner, r.job("q", 12, first), &checkedSink{id: "q"})
	e := newEpoch(t.Context(), 1, first.Stages())
	e.fail(&fault{stage: 0, kind: faultSilent, cause: errHung})
	e.preempt()
	if failure := state.next(e); failure != nil {
		t.Fatal(failure)
	}
	if len(r.released) != 1 || state.placement == first {
		t.Error("the slots were kept")
	}
}

// A second preemption comes while the slots are being given up for the first. It
// asks for what is done already, and must not take the next placement as well.
func TestReleaseSatisfiesPreemptionsUntilThen(t *testing.T) {
	r := newRig(t, twoHalves...)
	preempt := make(chan struct{}, 1)
	job := r.job("q", 12, r.stages("a1:0-6", "b1:6-12"))
	job.Preempt = preempt
	state := newRun(t.Context(), r.runner, job, &checkedSink{id: "q"})
	preempt <- struct{}{}
	state.release(nil)
	if len(preempt) != 0 {
		t.Error("the preemption waits for the next placement")
	}
}

// A stage opens at the very moment at which another one fails. Its stream must be
// closed all the same, or its engine works for nobody.
func TestStreamOpenedAfterTheEndIsClosed(t *testing.T) {
	r := newRig(t, twoHalves...)
	e := newEpoch(t.Context(), 1, r.stages("a1:0-6", "b1:6-12").Stages())
	e.close()
	stream := &instantStream{closed: make(chan struct{})}
	if e.add(0, stream) {
		t.Error("the epoch took the stream")
	}
	select {
	case <-stream.closed:
	default:
		t.Error("the stream stays open")
	}
}

// Other VMs fill an engine that this one believed to be free. Being busy is no
// failure: the run queues again as often as it takes, excludes nothing, and the
// caller gets the whole answer later.
func TestBusyEngineIsNotAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "a1:0-6", "b1:6-12")
		r.cluster.update("a1", func(e *fakeEngine) { e.busy = 3 * DefaultMaxRecoveries })
		result := runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), &checkedSink{id: "q"})
		if result.Epochs != 3*DefaultMaxRecoveries+1 || slices.ContainsFunc(r.excluded, func(names []string) bool { return len(names) > 0 }) {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
		if r.released[0]["a1"] != balance.ResultBusy {
			t.Errorf("released %v", r.released[0])
		}
	})
}

// The last stage was taken and the first refused. No layer has run, for the last
// stage had nothing to work on, so the caller is rightly told not-run.
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
		if wrong := r.verdict(sink, result, err, 12); wrong != nil {
			t.Error(wrong)
		}
	})
}

// Hundreds of drafts lose the same hung engine at once. The cancels to it are
// bounded; those beyond the bound are skipped and counted, and no run waits.
func TestCancelsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "w1:0-12")
		r.cluster.hang("w1")
		r.runner = New(r.cluster, Settings{MaxCancels: 2}, r.inv)
		started := time.Now()
		for epoch := range uint32(5) {
			r.runner.cancelStages("q", epoch, r.stages("w1:0-12").Stages())
		}
		if time.Since(started) > 0 {
			t.Error("a cancel held up its run")
		}
		r.runner.Wait()
		if stats := r.runner.Stats(); stats.CancelsSkipped != 3 || stats.CancelsFailed != 2 {
			t.Errorf("%+v", stats)
		}
	})
}

func expectFailure(t *testing.T, err error, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	var failure *outcome.Failure
	if !errors.As(err, &failure) || failure.Outcome != want || failure.Reason != reason {
		t.Fatalf("%v, not %v for %v", err, want, reason)
	}
}
