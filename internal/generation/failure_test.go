package generation

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/outcome"
)

var twoHalves = []string{"a1:0-6", "a2:0-6", "b1:6-12", "b2:6-12"}

// actAfterToken returns a sink that runs act once, after the token at position.
func actAfterToken(id string, position int, act func()) *checkedSink {
	return &checkedSink{id: id, onToken: func(p int) error {
		if p == position {
			act()
		}
		return nil
	}}
}

// runToCompletion runs the job and expects a complete response.
func runToCompletion(t *testing.T, r *rig, job Job, sink *checkedSink) Result {
	t.Helper()
	result, err := r.runner.Run(t.Context(), job, sink)
	if err != nil {
		t.Errorf("run: %v", err)
	}
	if checkErr := r.check(sink, result, err, job.MaxTokens); checkErr != nil {
		t.Error(checkErr)
	}
	return result
}

// The engine of the first stage fails after token 5. Its stream breaks, the next epoch
// starts, and another engine gets its layers and replays the prompt and 6 tokens. The
// caller gets token 6 after a pause, because the run continues at the next position.
func TestFirstStageFailureContinuesAtNextToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := actAfterToken("q", 5, func() { r.cluster.kill("a1") })
		result := runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 2 || !slices.Equal(r.excluded[0], []string{"a1"}) {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
		reopened := r.cluster.opensOf("a2")
		if len(reopened) != 1 || len(reopened[0].Committed) != 6 || reopened[0].Epoch != 2 || reopened[0].ImportKVFrom != "" {
			t.Errorf("opened at a2: %+v", reopened)
		}
		if kept := r.cluster.opensOf("b1"); kept[1].ImportKVFrom != "" {
			t.Errorf("b1 holds the KV cache and was asked to import it from %s", kept[1].ImportKVFrom)
		}
		if r.released[0]["a1"] != balance.ResultFailed || len(r.released[0]) != 1 {
			t.Errorf("released %v", r.released)
		}
	})
}

// The last stage reports an error. If it blames the stage before it, because its
// activations stopped, that stage is replaced. If it blames a stage that does not
// exist, the last stage itself is replaced.
func TestBlamedStageIsReplaced(t *testing.T) {
	for blame, want := range map[int]string{0: "a1", 1: "b1", 7: "b1", -1: "b1"} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, twoHalves...)
			r.cluster.corrupt = func(target string, e *engine.Event) {
				if target == "b1" && e.Epoch == 1 && e.Position == 5 {
					e.Kind, e.FailedStage = engine.EventError, blame
				}
			}
			runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), &checkedSink{id: "q"})
			if !slices.Equal(r.excluded[0], []string{want}) {
				t.Errorf("blame %d excluded %v", blame, r.excluded)
			}
		})
	}
}

// The first stage fails, and the engine that replaces it fails during its replay. The
// second failure is handled like the first: another epoch starts, both engines are
// excluded, and the third engine gets the same committed tokens.
func TestReplacementFailsDuringReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "a1:0-6", "a2:0-6", "a3:0-6", "b1:6-12")
		killInEpoch2 := func(name string) func(engine.StageOpen) {
			return func(open engine.StageOpen) {
				if open.Epoch == 2 {
					r.cluster.kill(name)
				}
			}
		}
		for _, name := range []string{"a2", "a3"} {
			r.cluster.update(name, func(e *fakeEngine) { e.onOpen = killInEpoch2(name) })
		}
		sink := actAfterToken("q", 5, func() { r.cluster.kill("a1") })
		result := runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 3 || len(r.excluded[1]) != 2 {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
	})
}

// After the next epoch started, a token, an error and a done event of the old epoch
// arrive on the new stream of the last stage. All are dropped and counted, the caller
// gets no token twice, and the response does not end early. With the epoch fence
// disabled, an invariant must be violated.
func TestLateEventsOfAnOldEpoch(t *testing.T) {
	for _, fenceDisabled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, twoHalves...)
			r.cluster.staleEvents, r.cluster.duplicates = true, true
			r.runner.ignoreEpochFence = fenceDisabled
			sink := actAfterToken("q", 5, func() { r.cluster.kill("a1") })
			job := r.job("q", 12, r.stages("a1:0-6", "b1:6-12"))
			if fenceDisabled {
				_, _ = r.runner.Run(t.Context(), job, sink)
				r.runner.Wait()
				if r.inv.Total() == 0 {
					t.Error("no invariant was violated with the epoch fence disabled")
				}
				return
			}
			notified := 0
			r.runner.settings.OnStaleEvent = func() { notified++ }
			runToCompletion(t, r, job, sink)
			if stats := r.runner.Stats(); stats.StaleEvents != 3 || notified != 3 || stats.Duplicates == 0 {
				t.Errorf("%+v, notified of %d stale events", stats, notified)
			}
		})
	}
}

// Both stages are alive and send heartbeats, but no token arrives: one of them is stuck,
// and it is unknown which. After InterTokenTimeout both are excluded.
func TestSlowStagesCountAsFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := actAfterToken("q", 5, func() { r.cluster.update("a1", func(e *fakeEngine) { e.stalled = true }) })
		runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if !slices.Equal(r.excluded[0], []string{"a1", "b1"}) || r.released[0]["b1"] != balance.ResultSlow {
			t.Errorf("excluded %v, released %v", r.excluded, r.released)
		}
	})
}

// The only engine for some layers fails and works again later. There is no other
// target, so the exclusion is removed after a pause and the run continues at the next
// token.
func TestOnlyTargetIsRetriedAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "a1:0-6", "b1:6-12")
		sink := actAfterToken("q", 5, func() {
			r.cluster.kill("a1")
			time.AfterFunc(200*time.Millisecond, func() {
				r.cluster.update("a1", func(e *fakeEngine) { e.dead = false })
			})
		})
		runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
	})
}

// A caller reads slowly: the sink blocks for 10 s on a token. The engines are not the
// cause, so none is excluded and no token is generated twice.
func TestSlowCallerIsNotASlowEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := actAfterToken("q", 5, func() { time.Sleep(10 * time.Second) })
		if result := runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink); result.Epochs != 1 {
			t.Errorf("%d epochs", result.Epochs)
		}
	})
}

// Every engine opens the stage and fails at once. The run ends after a bounded number of
// failures with the outcome unknown, because engines had started.
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
		if checkErr := r.check(sink, result, err, 12); checkErr != nil {
			t.Error(checkErr)
		}
	})
}

// Requests of other VMs fill an engine that has free slots as far as this VM knows. A
// busy engine is not a failure: the run waits in admission again as often as needed,
// excludes no engine, and the caller gets the complete response later.
func TestBusyEngineIsNotAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "a1:0-6", "b1:6-12")
		r.cluster.update("a1", func(e *fakeEngine) { e.busy = 3 * DefaultMaxRecoveries })
		result := runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), &checkedSink{id: "q"})
		if result.Epochs != 3*DefaultMaxRecoveries+1 || slices.ContainsFunc(r.excluded, func(names []string) bool { return len(names) > 0 }) {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
		if r.released[0]["a1"] != balance.ResultBusy {
			t.Errorf("released %v", r.released[0])
		}
	})
}

// Many runs lose the same hung engine at the same time. The cancels in progress are
// bounded, those above the bound are skipped and counted, and no run waits for them.
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
			t.Error("a cancel delayed its run")
		}
		r.runner.Wait()
		if stats := r.runner.Stats(); stats.CancelsSkipped != 3 || stats.CancelsFailed != 2 {
			t.Errorf("%+v", stats)
		}
	})
}
