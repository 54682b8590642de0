package generation

import (
	"context"
	"testing"
	"testing/synctest"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/outcome"
)

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
		job.NextPlacement = func(_ context.Context, exclude []string) (Placement, error) {
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
		job.NextPlacement = func(context.Context, []string) (Placement, error) {
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
