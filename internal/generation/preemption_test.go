package generation

import (
	"context"
	"testing"
	"testing/synctest"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/outcome"
)

// A bulk run is preempted while it waits for another placement and holds no slots. The
// preemption must not be lost: it applies to the next placement, which the run releases
// at once. It then waits again and still delivers each token once.
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
		sink := actAfterToken("q", 5, func() { r.cluster.kill("a1") })
		job := r.job("q", 12, r.stages("a1:0-6", "b1:6-12"))
		job.Preempt = preempt
		result := runToCompletion(t, r, job, sink)
		if stats := r.runner.Stats(); result.Epochs != 3 || stats.Preemptions != 1 || len(r.excluded) != 2 {
			t.Errorf("%d epochs, %+v, excluded %v", result.Epochs, stats, r.excluded)
		}
	})
}

// An urgent request preempts a run. The run's engines keep its KV cache. It resumes on
// other engines later, which import the cache instead of replaying. If the import fails,
// the next epoch replays, because the source of the import may be the cause.
func TestPreemptedRunImportsKVCache(t *testing.T) {
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
					t.Error("resumed at the target that was released by the preemption")
				}
			}
		})
		job := r.job("q", 12, r.stages("w1:0-12"))
		job.Preempt = preempt
		job.NextPlacement = func(_ context.Context, exclude []string) (Placement, error) {
			return r.choose(append(exclude, "w1"))
		}
		result := runToCompletion(t, r, job, actAfterToken("q", 5, func() { preempt <- struct{}{} }))
		opens := r.cluster.opens
		if result.Epochs != 3 || opens[1].open.ImportKVFrom != "w1" || opens[2].open.ImportKVFrom != "" {
			t.Errorf("%d epochs, opens %+v", result.Epochs, opens)
		}
		if !opens[0].open.KeepKV {
			t.Error("the engine was not asked to keep its KV cache")
		}
	})
}

// A run is preempted again before its second engine generates a token. That engine has no
// KV cache that is worth importing, so the third engine imports it from the first.
func TestImportSourceHasGeneratedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, "w1:0-12", "w2:0-12", "w3:0-12")
		preempt := make(chan struct{}, 1)
		r.cluster.update("w2", func(e *fakeEngine) {
			e.onOpen = func(engine.StageOpen) { preempt <- struct{}{} }
		})
		next := []string{"w2:0-12", "w3:0-12"}
		job := r.job("q", 12, r.stages("w1:0-12"))
		job.Preempt = preempt
		job.NextPlacement = func(context.Context, []string) (Placement, error) {
			placement := r.stages(next[0])
			next = next[1:]
			return placement, nil
		}
		runToCompletion(t, r, job, actAfterToken("q", 5, func() { preempt <- struct{}{} }))
		if source := r.cluster.opensOf("w3")[0].ImportKVFrom; source != "w1" {
			t.Errorf("w3 imports from %q", source)
		}
	})
}

// A run is preempted repeatedly. It ends after a bounded number of epochs with the
// outcome unknown, because it ran in part.
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
		if checkErr := r.check(sink, result, err, 12); checkErr != nil {
			t.Error(checkErr)
		}
	})
}

// A stream goes silent and the run is preempted at the same time. For a silent stream
// alone, the run keeps its slots and reconnects. The urgent request that waits for the
// slots must get them nevertheless.
func TestPreemptionDuringSilence(t *testing.T) {
	r := newRig(t, twoHalves...)
	first := r.stages("a1:0-6", "b1:6-12")
	state := newRun(t.Context(), r.runner, r.job("q", 12, first), &checkedSink{id: "q"})
	e := newEpoch(t.Context(), 1, first.Stages())
	e.fail(&fault{stage: 0, kind: faultSilent, cause: errHung})
	e.preempt()
	if failure := state.prepareNext(e); failure != nil {
		t.Fatal(failure)
	}
	if len(r.released) != 1 || state.placement == first {
		t.Error("the slots were not released")
	}
}

// A second preemption arrives while the slots are being released for the first one. The
// release satisfies it as well, and it must not apply to the next placement.
func TestReleaseClearsPendingPreemption(t *testing.T) {
	r := newRig(t, twoHalves...)
	preempt := make(chan struct{}, 1)
	job := r.job("q", 12, r.stages("a1:0-6", "b1:6-12"))
	job.Preempt = preempt
	state := newRun(t.Context(), r.runner, job, &checkedSink{id: "q"})
	preempt <- struct{}{}
	state.release(nil)
	if len(preempt) != 0 {
		t.Error("the preemption is still pending after the release")
	}
}
