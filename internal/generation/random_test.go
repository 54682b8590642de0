package generation

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// mixedEngines hold overlapping layer ranges that do not align. Each layer is on at least
// four engines.
var mixedEngines = []string{
	"a1:0-6", "a2:0-6", "a3:0-7", "b1:5-12", "b2:6-12", "b3:6-12",
	"w1:0-12", "w2:0-12", "c1:0-4", "c2:4-9", "c3:8-12",
}

// injectedFault is a fault that is injected at a time after the start.
type injectedFault struct {
	after  time.Duration
	kind   string
	engine string
	run    int
}

// scenario describes one randomised run. All of it is drawn before the run.
type scenario struct {
	tokens []int
	// deadlines has the timeout of each caller, 0 for none.
	deadlines         []time.Duration
	faults            []injectedFault
	stale, duplicates bool
	placementDelay    time.Duration
	priorPlacements   int
}

const (
	injectKill    = "kill"
	injectHang    = "hang"
	injectSilence = "silence"
	injectStall   = "stall"
	injectRefuse  = "refuse"
	injectBusy    = "busy"
	injectPreempt = "preempt"
	injectKillTwo = "kill two"
)

func drawScenario(t *rapid.T) scenario {
	kinds := []string{injectKill, injectHang, injectSilence, injectStall, injectRefuse, injectBusy, injectPreempt, injectKillTwo}
	s := scenario{
		stale: rapid.Bool().Draw(t, "stale"), duplicates: rapid.Bool().Draw(t, "duplicates"),
		placementDelay:  time.Duration(rapid.IntRange(0, 300).Draw(t, "replaceTakes")) * time.Millisecond,
		priorPlacements: rapid.IntRange(0, 20).Draw(t, "choices"),
	}
	for range rapid.IntRange(1, 3).Draw(t, "runs") {
		s.tokens = append(s.tokens, rapid.IntRange(1, 150).Draw(t, "tokens"))
		deadline := rapid.SampledFrom([]int{0, 0, 0, 1, 30, 900, 2000}).Draw(t, "deadline")
		s.deadlines = append(s.deadlines, time.Duration(deadline)*time.Millisecond)
	}
	after := 0
	for range rapid.IntRange(0, 5).Draw(t, "orders") {
		after += rapid.IntRange(0, 1200).Draw(t, "after")
		s.faults = append(s.faults, injectedFault{
			after: time.Duration(after) * time.Millisecond, kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			engine: rapid.SampledFrom(mixedEngines).Draw(t, "engine"), run: rapid.IntRange(0, len(s.tokens)-1).Draw(t, "run"),
		})
	}
	return s
}

func (r *rig) inject(o injectedFault, preempt []chan struct{}) {
	name := o.engine[:2]
	switch o.kind {
	case injectKill:
		r.cluster.kill(name)
	case injectKillTwo:
		r.cluster.kill(name)
		r.cluster.kill(map[byte]string{'a': "b1", 'b': "a1", 'w': "a2", 'c': "b2"}[name[0]])
	case injectHang:
		r.cluster.hang(name)
	case injectSilence:
		r.cluster.silence(name)
	case injectStall:
		r.cluster.update(name, func(e *fakeEngine) { e.stalled = true })
	case injectRefuse:
		r.cluster.update(name, func(e *fakeEngine) { e.refuse += 2 })
	case injectBusy:
		r.cluster.update(name, func(e *fakeEngine) { e.busy += 20 })
	case injectPreempt:
		select {
		case preempt[o.run] <- struct{}{}:
		default:
		}
	}
}

// repairEngines ends all faults, so that a run without engines for some layers can
// continue and the result of the test does not depend on chance. A hung engine is
// restarted, because no cancel could reach its stages.
func (r *rig) repairEngines() {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	for _, e := range r.cluster.engines {
		if e.hung {
			e.dropStagesLocked()
		}
		e.dead, e.hung, e.stalled, e.refuse, e.busy = false, false, false, 0, 0
	}
}

// run executes the scenario. It returns the problems found and the number of runs that
// failed.
func (s scenario) run(t *testing.T) (problems []error, failed int) {
	r := newRig(t, mixedEngines...)
	r.cluster.staleEvents, r.cluster.duplicates = s.stale, s.duplicates
	r.onReplace = func(ctx context.Context) error { return pause(ctx, s.placementDelay) }
	for range s.priorPlacements {
		placement, _ := r.choose(nil)
		placement.Release(nil)
	}
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Minute)
	defer stop()
	preempt := make([]chan struct{}, len(s.tokens))
	errs := make([]error, len(s.tokens))
	sinks := make([]*checkedSink, len(s.tokens))
	results := make([]Result, len(s.tokens))
	var runs sync.WaitGroup
	for i, tokens := range s.tokens {
		preempt[i] = make(chan struct{}, 1)
		sinks[i] = &checkedSink{id: fmt.Sprintf("q%d", i)}
		first, _ := r.choose(nil)
		job := r.job(sinks[i].id, tokens, first)
		job.Layers, job.Preempt = 12, preempt[i]
		if s.deadlines[i] > 0 {
			job.Deadline = time.Now().Add(s.deadlines[i])
		}
		runs.Go(func() { results[i], errs[i] = r.runner.Run(ctx, job, sinks[i]) })
	}
	var injectors sync.WaitGroup
	for _, o := range s.faults {
		injectors.Go(func() {
			if pause(ctx, o.after) == nil {
				r.inject(o, preempt)
			}
		})
	}
	injectors.Go(func() {
		_ = pause(ctx, 10*time.Second)
		r.repairEngines()
	})
	runs.Wait()
	injectors.Wait()
	r.runner.Wait()
	for i := range s.tokens {
		if err := r.check(sinks[i], results[i], errs[i], s.tokens[i]); err != nil {
			problems = append(problems, fmt.Errorf("run %d: %w", i, err))
		}
		if errs[i] != nil && s.deadlines[i] == 0 {
			problems = append(problems, fmt.Errorf("run %d failed although the engines were repaired: %w", i, errs[i]))
		}
		if errs[i] != nil {
			failed++
		}
	}
	return problems, failed
}

// Engines fail, also two at the same time, hang, go silent, stall and refuse, runs are
// preempted, and events of old epochs arrive late, all in random order. Each caller must
// get all tokens once and in order, or a failure with a true outcome. Afterwards no stage
// may be open and no slot reserved.
func TestRandomFaults(t *testing.T) {
	runs, failures := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var problems []error
		var failed int
		synctest.Test(t, func(t *testing.T) { problems, failed = s.run(t) })
		if len(problems) > 0 {
			rt.Fatalf("%+v: %v", s, problems)
		}
		runs, failures = runs+len(s.tokens), failures+failed
	})
	t.Logf("%d runs, %d ended with a failure", runs, failures)
	if failures == 0 {
		t.Error("no run failed, so no failure was checked")
	}
}
