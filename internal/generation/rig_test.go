package generation

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/plan"
)

// rig is a runner with a fake cluster, and with a planner instead of the router.
type rig struct {
	cluster *fakeCluster
	runner  *Runner
	inv     *invariant.Registry
	chooser *plan.Chooser
	targets map[string]*config.Target

	mu sync.Mutex // guards the fields below
	// unreleased is the number of placements that are not released.
	unreleased int
	// excluded has the excluded targets of each call of NextPlacement, released the results
	// of each release.
	excluded [][]string
	released []map[string]balance.Result
	// onReplace, if not nil, is called before each new placement.
	onReplace func(ctx context.Context) error
}

// newRig returns a rig with engines given as "name:from-to". The model has 12 layers. The
// engines end with the test, so that only a leak of a run can outlive it.
func newRig(t testing.TB, engines ...string) *rig {
	r := &rig{targets: map[string]*config.Target{}, inv: invariant.NewRegistry(nil)}
	var names []string
	in := plan.Input{Model: &config.Model{Name: "m", Layers: 12}, Version: "1"}
	for _, spec := range engines {
		name, layers, _ := strings.Cut(spec, ":")
		target := &config.Target{Name: name, Address: name, Kind: config.KindEngine, Model: "m", Version: "1", LayerTokensPerSecond: 1000, State: config.StateActive}
		if _, err := fmt.Sscanf(layers, "%d-%d", &target.Layers.From, &target.Layers.To); err != nil {
			panic(err)
		}
		r.targets[name] = target
		names = append(names, name)
		in.Targets = append(in.Targets, target)
	}
	set, err := plan.Compute(in)
	if err != nil {
		panic(err)
	}
	r.chooser = plan.NewChooser(set, 1)
	r.cluster = newFakeCluster(names...)
	r.runner = New(r.cluster, Settings{}, r.inv)
	t.Cleanup(func() {
		for _, name := range names {
			r.cluster.kill(name)
		}
	})
	return r
}

// stages returns a placement of stages given as "name:from-to".
func (r *rig) stages(specs ...string) Placement {
	var stages []plan.Stage
	for _, spec := range specs {
		name, layers, _ := strings.Cut(spec, ":")
		stage := plan.Stage{Target: r.targets[name]}
		if _, err := fmt.Sscanf(layers, "%d-%d", &stage.Layers.From, &stage.Layers.To); err != nil {
			panic(err)
		}
		stages = append(stages, stage)
	}
	return r.placement(stages)
}

func (r *rig) placement(stages []plan.Stage) Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreleased++
	return &rigPlacement{rig: r, stages: stages}
}

// choose returns a placement of any plan without the excluded targets.
func (r *rig) choose(exclude []string) (Placement, error) {
	excluded := map[string]bool{}
	for _, name := range exclude {
		excluded[name] = true
	}
	chosen, ok := r.chooser.Choose(plan.Query{Urgency: config.Normal, Usable: func(string) bool { return true }, Exclude: excluded})
	if !ok {
		return nil, outcome.Refuse(outcome.ReasonNoTarget, "no targets").WithRetryAfter(time.Second)
	}
	return r.placement(chosen.Stages), nil
}

func (r *rig) nextPlacement(ctx context.Context, exclude []string) (Placement, error) {
	r.mu.Lock()
	r.excluded = append(r.excluded, exclude)
	onReplace := r.onReplace
	r.mu.Unlock()
	if onReplace != nil {
		if err := onReplace(ctx); err != nil {
			return nil, err
		}
	}
	return r.choose(exclude)
}

func (r *rig) job(id string, tokens int, first Placement) Job {
	return Job{RequestID: id, Model: "m", Version: "1", Prompt: []string{"p"}, MaxTokens: tokens, FirstPlacement: first, NextPlacement: r.nextPlacement}
}

// check returns what is wrong after a run: with the tokens that the sink received, with
// slots and stages that were not released, or with the outcome of a failure.
func (r *rig) check(sink *checkedSink, result Result, err error, want int) error {
	r.runner.Wait()
	r.mu.Lock()
	unreleased := r.unreleased
	r.mu.Unlock()
	switch {
	case sink.tokenErr != nil:
		return sink.tokenErr
	case unreleased != 0:
		return fmt.Errorf("%d placements are not released", unreleased)
	case r.cluster.active() != 0:
		return fmt.Errorf("%d stages are still open", r.cluster.active())
	case r.inv.Total() != 0:
		return fmt.Errorf("invariants: %+v", r.inv.Report().Recent)
	case result.Tokens != sink.next:
		return fmt.Errorf("result has %d tokens, the sink received %d", result.Tokens, sink.next)
	case err == nil && sink.next != want:
		return fmt.Errorf("complete with %d of %d tokens", sink.next, want)
	case err != nil:
		return r.checkFailure(sink, err)
	}
	return nil
}

// checkFailure checks that the outcome of a failure is true.
func (r *rig) checkFailure(sink *checkedSink, err error) error {
	var failure *outcome.Failure
	if !errors.As(err, &failure) {
		return fmt.Errorf("%T is not a failure: %w", err, err)
	}
	r.cluster.mu.Lock()
	started := r.cluster.started[sink.id]
	r.cluster.mu.Unlock()
	if failure.Outcome == outcome.NotRun && (started || sink.next > 0) {
		return fmt.Errorf("outcome not-run for a request that ran: %w", err)
	}
	return nil
}

type rigPlacement struct {
	rig      *rig
	stages   []plan.Stage
	released bool
}

func (p *rigPlacement) Stages() []plan.Stage { return p.stages }

func (p *rigPlacement) Release(failed map[string]balance.Result) {
	p.rig.mu.Lock()
	defer p.rig.mu.Unlock()
	if p.released {
		panic("released twice")
	}
	p.released = true
	p.rig.unreleased--
	p.rig.released = append(p.rig.released, failed)
}

// checkedSink expects each token once and in order.
type checkedSink struct {
	id       string
	next     int
	tokenErr error
	// onToken, if not nil, is called after each token.
	onToken func(position int) error
}

func (s *checkedSink) Token(position int, text string) error {
	if position != s.next || text != tokenText(s.id, position) {
		s.tokenErr = fmt.Errorf("sink received token %d %q, want token %d", position, text, s.next)
	}
	s.next++
	if s.onToken != nil {
		return s.onToken(position)
	}
	return nil
}
