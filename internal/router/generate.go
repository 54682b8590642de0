package router

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/generation"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/plan"
)

// planAttempts bounds how often a plan is chosen anew because another request
// took one of its slots in between.
const planAttempts = 3

// Generate serves a generation; tokens go to the sink in order, each once. The
// error is an *outcome.Failure.
func (r *Router) Generate(ctx context.Context, request GenerateRequest, sink TokenSink) (GenerateResult, error) {
	e, failure := r.begin(request.Metadata, config.ClassGeneration)
	if failure != nil {
		return GenerateResult{}, r.refused(request.Metadata, failure)
	}
	ctx, cancel := withDeadline(ctx, e)
	defer cancel()
	result, failure := r.generate(ctx, e, request, sink)
	r.finish(e, failure, result.Epochs)
	if failure != nil {
		return result, failure
	}
	return result, nil
}

func (r *Router) generate(ctx context.Context, e *entry, request GenerateRequest, sink TokenSink) (GenerateResult, *outcome.Failure) {
	if failure := r.checkGeneration(e, request); failure != nil {
		return GenerateResult{}, failure
	}
	kept, failure := r.takeClaim(ctx, e)
	if failure != nil {
		return GenerateResult{}, failure
	}
	if kept != nil {
		return replay(kept, sink)
	}
	observed := newObservedSink(e, sink, r.Observer, r.keptAnswerBound(e))
	result, failure := r.runGeneration(ctx, e, request, observed)
	return result, r.settleClaim(ctx, e, failure, observed.answer(failure))
}

func (r *Router) keptAnswerBound(e *entry) int {
	if !e.keyed() {
		return 0
	}
	return r.Limits.MaxKeptAnswer
}

func (r *Router) checkGeneration(e *entry, request GenerateRequest) *outcome.Failure {
	if len(request.Prompt) > lowest(e.profile.Limits.MaxPromptTokens, r.Limits.MaxPromptTokens) {
		return outcome.Refuse(outcome.ReasonTooLarge, "the prompt is longer than the profile allows")
	}
	if request.MaxTokens > lowest(e.profile.Limits.MaxTokens, r.Limits.MaxTokens) {
		return outcome.Refuse(outcome.ReasonTooLarge, "more tokens are asked for than the profile allows")
	}
	return nil
}

// replay hands out a kept answer token by token.
func replay(kept *claim.Answer, sink TokenSink) (GenerateResult, *outcome.Failure) {
	pieces := strings.SplitAfter(string(kept.Body), " ")
	if last := len(pieces) - 1; pieces[last] == "" {
		pieces = pieces[:last]
	}
	for position, text := range pieces {
		if err := sink.Token(position, text); err != nil {
			return GenerateResult{}, outcome.Uncertain(outcome.ReasonCallerGone, "the caller is gone").WithCause(err)
		}
	}
	return GenerateResult{Tokens: len(pieces), Finish: "stop"}, nil
}

func (r *Router) runGeneration(ctx context.Context, e *entry, request GenerateRequest, sink generation.Sink) (GenerateResult, *outcome.Failure) {
	ref := e.model
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = lowest(e.profile.Limits.MaxTokens, r.Limits.MaxTokens)
	}
	first, err := r.placeGeneration(ctx, e, ref, request.Prompt, admissionCost{tokens: len(request.Prompt) + tokens})
	if err != nil {
		return GenerateResult{}, asFailure(err)
	}
	return r.execute(ctx, e, r.generationJob(e, ref, request.Prompt, tokens, first), sink)
}

func (r *Router) execute(ctx context.Context, e *entry, job generation.Job, sink generation.Sink) (GenerateResult, *outcome.Failure) {
	e.enter(PhaseRunning)
	started := time.Now()
	e.boundary.BeginSend()
	done, err := r.Runner.Run(ctx, job, sink)
	result := GenerateResult{Tokens: done.Tokens, Finish: done.Finish, Epochs: done.Epochs}
	if failure := asFailure(err); failure != nil {
		if failure.Outcome == outcome.NotRun {
			e.boundary.MarkNotRun()
		}
		return result, failure
	}
	r.learn(e, time.Since(started))
	return result, nil
}

func (r *Router) generationJob(e *entry, ref config.ModelRef, prompt []string, tokens int, first *placement) generation.Job {
	current := first.plan
	return generation.Job{
		RequestID: e.id.RequestID, Model: ref.Model, Version: ref.Version, Adapter: ref.Adapter,
		Prompt: prompt, MaxTokens: tokens, Idempotent: e.profile.Idempotent, Priority: int(e.profile.Urgency), Deadline: e.deadline,
		Layers: r.Plans.Layers(ref), FirstPlacement: first.measure(e, r.estimates.paces),
		Preempt: e.preempt,
		NextPlacement: func(ctx context.Context, exclude []string) (generation.Placement, error) {
			remaining := max(1, tokens-int(e.tokens.Load()))
			next, err := r.replaceStages(ctx, e, ref, current, remaining, exclude)
			if err != nil {
				return nil, err
			}
			current = next.plan
			e.enter(PhaseRunning)
			return next.measure(e, r.estimates.paces), nil
		},
	}
}

// placeGeneration waits in admission for a plan with a slot on each target.
func (r *Router) placeGeneration(ctx context.Context, e *entry, ref config.ModelRef, prompt []string, cost admissionCost) (*placement, error) {
	if !r.Plans.Covered(ref, nil) {
		return nil, noEngines()
	}
	prefixes := engine.PrefixHashes(ref.Model, ref.Version, ref.Adapter, prompt)
	var placed *placement
	err := r.admit(ctx, e, cost, func(u config.Urgency) bool {
		prefer := r.Balancer.PrefixHolders(e.pool, prefixes)
		placed = r.tryPlan(u, ref, nil, prefer)
		return placed != nil
	})
	return placed, err
}

// replaceStages waits in admission for stages in place of the current ones. The
// surviving stages are asked for first, as their KV cache is still valid.
func (r *Router) replaceStages(ctx context.Context, e *entry, ref config.ModelRef, current plan.Plan, tokens int, exclude []string) (*placement, error) {
	if !r.Plans.Covered(ref, exclude) {
		return nil, noEngines()
	}
	var placed *placement
	err := r.admit(ctx, e, admissionCost{tokens: tokens, resume: true}, func(u config.Urgency) bool {
		placed = r.tryRepair(u, ref, current, exclude)
		if placed == nil {
			placed = r.tryPlan(u, ref, exclude, nil)
		}
		return placed != nil
	})
	return placed, err
}

func (r *Router) tryRepair(u config.Urgency, ref config.ModelRef, current plan.Plan, exclude []string) *placement {
	repaired, ok := r.Plans.Repair(ref, current, u, asSet(exclude))
	if !ok {
		return nil
	}
	placed, _ := r.reserve(repaired, u)
	return placed
}

func noEngines() *outcome.Failure {
	return outcome.Refuse(outcome.ReasonNoTarget, "no engines that can take work hold all layers of the model").WithRetryAfter(time.Second)
}

func asSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// tryPlan chooses a plan and takes its slots, all or none.
func (r *Router) tryPlan(u config.Urgency, ref config.ModelRef, exclude []string, prefer map[string]bool) *placement {
	excluded := asSet(exclude)
	for range planAttempts {
		chosen, ok := r.Plans.Choose(ref, u, excluded, prefer)
		if !ok {
			return nil
		}
		placed, full := r.reserve(chosen, u)
		if placed != nil {
			return placed
		}
		excluded[full] = true
	}
	return nil
}

func (r *Router) reserve(chosen plan.Plan, u config.Urgency) (placed *placement, full string) {
	p := &placement{plan: chosen, slots: make(map[string]*balance.Slot, len(chosen.Stages))}
	for _, stage := range chosen.Stages {
		slot, err := r.Balancer.Reserve(stage.Target.Name, u)
		if err != nil {
			p.undo()
			return nil, stage.Target.Name
		}
		p.slots[stage.Target.Name] = slot
	}
	return p, ""
}

// onStarved makes room for an urgent request by preempting one bulk generation.
// It loses no token: the generation keeps its KV cache where it can and resumes.
func (r *Router) onStarved(pool string, _ *admission.Request) {
	victim := r.inHand.preemptible(pool)
	if victim == nil {
		return
	}
	select {
	case victim.preempt <- struct{}{}:
		r.Observer.Preempted()
	default:
	}
}

// chooseModel spreads requests over the profile's models by weight; the same
// request always gets the same one.
func chooseModel(refs []config.ModelRef, requestID string) config.ModelRef {
	total := 0
	for _, ref := range refs {
		total += max(1, ref.Weight)
	}
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, ref := range refs {
		at -= max(1, ref.Weight)
		if at < 0 {
			return ref
		}
	}
	return refs[len(refs)-1]
}
