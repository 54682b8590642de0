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

// mixedEngines hold ranges that do not line up, each layer on at least four engines.
var mixedEngines = []string{
	"a1:0-6", "a2:0-6", "a3:0-7", "b1:5-12", "b2:6-12", "b3:6-12",
	"w1:0-12", "w2:0-12", "c1:0-4", "c2:4-9", "c3:8-12",
}

type faultOrder struct {
	after  time.Duration
	kind   string
	engine string
	run    int
}

// scenario is what one randomised run does; all of it is drawn beforehand.
type scenario struct {
	tokens []int
	// deadlines are the callers' bounds, 0 for none.
	deadlines          []time.Duration
	orders             []faultOrder
	stale, duplicates  bool
	replaceTakes       time.Duration
	firstChoicesBefore int
}

const (
	orderKill    = "kill"
	orderHang    = "hang"
	orderSilence = "silence"
	orderStall   = "stall"
	orderRefuse  = "refuse"
	orderBusy    = "busy"
	orderPreempt = "preempt"
	orderTwice   = "kill two"
)

func drawScenario(t *rapid.T) scenario {
	kinds := []string{orderKill, orderHang, orderSilence, orderStall, orderRefuse, orderBusy, orderPreempt, orderTwice}
	s := scenario{
		stale: rapid.Bool().Draw(t, "stale"), duplicates: rapid.Bool().Draw(t, "duplicates"),
		replaceTakes:       time.Duration(rapid.IntRange(0, 300).Draw(t, "replaceTakes")) * time.Millisecond,
		firstChoicesBefore: rapid.IntRange(0, 20).Draw(t, "choices"),
	}
	for range rapid.IntRange(1, 3).Draw(t, "runs") {
		s.tokens = append(s.tokens, rapid.IntRange(1, 150).Draw(t, "tokens"))
		deadline := rapid.SampledFrom([]int{0, 0, 0, 1, 30, 900, 2000}).Draw(t, "deadline")
		s.deadlines = append(s.deadlines, time.Duration(deadline)*time.Millisecond)
	}
	after := 0
	for range rapid.IntRange(0, 5).Draw(t, "orders") {
		after += rapid.IntRange(0, 1200).Draw(t, "after")
		s.orders = append(s.orders, faultOrder{
			after: time.Duration(after) * time.Millisecond, kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			engine: rapid.SampledFrom(mixedEngines).Draw(t, "engine"), run: rapid.IntRange(0, len(s.tokens)-1).Draw(t, "run"),
		})
	}
	return s
}

func (r *rig) obey(o faultOrder, preempt []chan struct{}) {
	name := o.engine[:2]
	switch o.kind {
	case orderKill:
		r.cluster.kill(name)
	case orderTwice:
		r.cluster.kill(name)
		r.cluster.kill(map[byte]string{'a': "b1", 'b': "a1", 'w': "a2", 'c': "b2"}[name[0]])
	case orderHang:
		r.cluster.hang(name)
	case orderSilence:
		r.cluster.silence(name)
	case orderStall:
		r.cluster.update(name, func(e *fakeEngine) { e.stalled = true })
	case orderRefuse:
		r.cluster.update(name, func(e *fakeEngine) { e.refuse += 2 })
	case orderBusy:
		r.cluster.update(name, func(e *fakeEngine) { e.busy += 20 })
	case orderPreempt:
		select {
		case preempt[o.run] <- struct{}{}:
		default:
		}
	}
}

// mend makes the engines work again, so that a run whose layers are all lost can
// go on and the ends of the test do not depend on luck. A hung engine is started
// anew; no cancel could reach what it held.
func (r *rig) mend() {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	for _, e := range r.cluster.engines {
		if e.hung {
			e.restartLocked()
		}
		e.dead, e.hung, e.stalled, e.refuse, e.busy = false, false, false, 0, 0
	}
}

func (s scenario) play(t *testing.T) (wrong []error, failed int) {
	r := newRig(t, mixedEngines...)
	r.cluster.staleEvents, r.cluster.duplicates = s.stale, s.duplicates
	r.onReplace = func(ctx context.Context) error { return pause(ctx, s.replaceTakes) }
	for range s.firstChoicesBefore {
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
	var orders sync.WaitGroup
	for _, o := range s.orders {
		orders.Go(func() {
			if pause(ctx, o.after) == nil {
				r.obey(o, preempt)
			}
		})
	}
	orders.Go(func() {
		_ = pause(ctx, 10*time.Second)
		r.mend()
	})
	runs.Wait()
	orders.Wait()
	r.runner.Wait()
	for i := range s.tokens {
		if err := r.verdict(sinks[i], results[i], errs[i], s.tokens[i]); err != nil {
			wrong = append(wrong, fmt.Errorf("run %d: %w", i, err))
		}
		if errs[i] != nil && s.deadlines[i] == 0 {
			wrong = append(wrong, fmt.Errorf("run %d failed although the engines were mended: %w", i, errs[i]))
		}
		if errs[i] != nil {
			failed++
		}
	}
	return wrong, failed
}

// Engines die, hang, go silent, stall, refuse and two die at once, drafts are
// preempted, old epochs answer late, in random order. Each caller must get every
// token once and in order, or a truthful failure; nothing may stay open or held.
func TestRandomFaults(t *testing.T) {
	runs, failures := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var wrong []error
		var failed int
		synctest.Test(t, func(t *testing.T) { wrong, failed = s.play(t) })
		if len(wrong) > 0 {
			rt.Fatalf("%+v: %v", s, wrong)
		}
		runs, failures = runs+len(s.tokens), failures+failed
	})
	t.Logf("%d runs, %d ended with a failure", runs, failures)
	if failures == 0 {
		t.Error("no run failed, so no failure was looked at")
	}
}
