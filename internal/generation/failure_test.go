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

// The last stage reports an error. It may blame the stage before it, whose
// activations stopped: then that one is replaced. A blame that names no stage is
// taken as its own.
func TestBlameNamesTheStageToReplace(t *testing.T) {
	for blame, want := range map[int]string{0: "a1", 1: "b1", 7: "b1", -1: "b1"} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, twoHalves...)
			r.cluster.corrupt = func(target string, e *engine.Event) {
				if target == "b1" && e.Epoch == 1 && e.Position == 5 {
					e.Kind, e.FailedStage = engine.EventError, blame
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
