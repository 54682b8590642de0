package router

import (
	"cmp"
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

// planAttempts bounds how often a plan is chosen again because another request took one of
// its slots in the meantime.
const planAttempts = 3

// Generate serves a generation. Tokens are passed to the sink in order, each once. The
// error is an *outcome.Failure.
func (r *Router) Generate(ctx context.Context, request GenerateRequest, sink TokenSink) (GenerateResult, error) {
	e, failure := r.begin(request.Metadata, config.ClassGeneration)
	if failure != nil {
		return GenerateResult{}, r.recordRefusal(request.Metadata, failure)
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
		return GenerateResult{}, claimUnread(e.meta, e.profile, failure)
	}
	stored, failure := r.takeClaim(ctx, e)
	if failure != nil {
		return GenerateResult{}, failure
	}
	if stored != nil {
		return replay(stored, sink)
	}
	observed := newObservedSink(e, sink, r.Observer, r.maxStoredAnswer(e))
	result, failure := r.runGeneration(ctx, e, request, observed)
	return result, r.finishClaim(ctx, e, failure, observed.answer(result, failure))
}

// maxStoredAnswer returns the maximum size of the answer that is stored with the claim, 0
// if the request has no claim.
func (r *Router) maxStoredAnswer(e *entry) int {
	if !e.needsClaim() {
		return 0
	}
	return r.Limits.MaxKeptAnswer
}

// checkGeneration refuses requests that exceed the limits on tokens.
func (r *Router) checkGeneration(e *entry, request GenerateRequest) *outcome.Failure {
	if len(request.Prompt) > minBound(e.profile.Limits.MaxPromptTokens, r.Limits.MaxPromptTokens) {
		return outcome.Refuse(outcome.ReasonTooLarge, "the prompt is longer than the profile allows")
	}
	if request.MaxTokens > minBound(e.profile.Limits.MaxTokens, r.Limits.MaxTokens) {
		return outcome.Refuse(outcome.ReasonTooLarge, "more tokens are asked for than the profile allows")
	}
	return nil
}

// replay passes a stored answer to the sink, token by token.
func replay(stored *claim.Answer, sink TokenSink) (GenerateResult, *outcome.Failure) {
	pieces := strings.SplitAfter(string(stored.Body), " ")
	if last := len(pieces) - 1; pieces[last] == "" {
		pieces = pieces[:last]
	}
	for position, text := range pieces {
		if err := sink.Token(position, text); err != nil {
			return GenerateResult{}, outcome.Uncertain(outcome.ReasonCallerGone, "the caller is gone").WithCause(err)
		}
	}
	return GenerateResult{Tokens: len(pieces), Finish: cmp.Or(stored.Finish, "stop")}, nil
}

func (r *Router) runGeneration(ctx context.Context, e *entry, request GenerateRequest, sink generation.Sink) (GenerateResult, *outcome.Failure) {
	ref := e.model
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = minBound(e.profile.Limits.MaxTokens, r.Limits.MaxTokens)
	}
	first, err := r.placeGeneration(ctx, e, ref, request.Prompt, admissionCost{tokens: len(request.Prompt) + tokens})
	if err != nil {
		return GenerateResult{}, asFailure(err)
	}
	return r.execute(ctx, e, r.generationJob(e, ref, request.Prompt, tokens, first), sink)
}

func (r *Router) execute(ctx context.Context, e *entry, job generation.Job, sink generation.Sink) (GenerateResult, *outcome.Failure) {
	e.setPhase(PhaseRunning)
	started := time.Now()
	e.sendGuard.BeginSend()
	done, err := r.Runner.Run(ctx, job, sink)
	result := GenerateResult{Tokens: done.Tokens, Finish: done.Finish, Epochs: done.Epochs}
	if failure := asFailure(err); failure != nil {
		if failure.Outcome == outcome.NotRun {
			e.sendGuard.MarkNotRun()
		}
		return result, failure
	}
	r.recordDuration(e, time.Since(started))
	return result, nil
}

func (r *Router) generationJob(e *entry, ref config.ModelRef, prompt []string, tokens int, first *placement) generation.Job {
	current := first.plan
	return generation.Job{
		RequestID: e.meta.RequestID, Model: ref.Model, Version: ref.Version, Adapter: ref.Adapter,
		Prompt: prompt, MaxTokens: tokens, Idempotent: e.profile.Idempotent, Priority: int(e.profile.Urgency), Deadline: e.deadline,
		Layers: r.Plans.Layers(ref), FirstPlacement: first.startMeasuring(e, r.estimates.slowDetector),
		Preempt: e.preempt,
		NextPlacement: func(ctx context.Context, exclude []string) (generation.Placement, error) {
			remaining := max(1, tokens-int(e.tokens.Load()))
			next, err := r.replaceStages(ctx, e, ref, current, remaining, exclude)
			if err != nil {
				return nil, err
			}
			current = next.plan
			e.setPhase(PhaseRunning)
			return next.startMeasuring(e, r.estimates.slowDetector), nil
		},
	}
}

// placeGeneration waits in admission for a plan and a slot on each of its targets.
func (r *Router) placeGeneration(ctx context.Context, e *entry, ref config.ModelRef, prompt []string, cost admissionCost) (*placement, error) {
	if !r.Plans.Covered(ref, nil) {
		return nil, noEnginesFailure()
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

// replaceStages waits in admission for stages in place of the current ones. It tries to
// keep the surviving stages first, because their KV cache is still valid.
func (r *Router) replaceStages(ctx context.Context, e *entry, ref config.ModelRef, current plan.Plan, tokens int, exclude []string) (*placement, error) {
	if !r.Plans.Covered(ref, exclude) {
		return nil, noEnginesFailure()
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

// tryRepair replaces the excluded targets of the current plan and reserves the slots. It
// returns nil if that is not possible now.
func (r *Router) tryRepair(u config.Urgency, ref config.ModelRef, current plan.Plan, exclude []string) *placement {
	repaired, ok := r.Plans.Repair(ref, current, u, asSet(exclude))
	if !ok {
		return nil
	}
	placed, _ := r.reserve(repaired, u)
	return placed
}

func noEnginesFailure() *outcome.Failure {
	return outcome.Refuse(outcome.ReasonNoTarget, "no engines that can take work hold all layers of the model").WithRetryAfter(time.Second)
}

func asSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// tryPlan chooses a plan and reserves all of its slots. It returns nil if that is not
// possible now.
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

// reserve reserves a slot on each target of the plan. If a target has no free slot, it
// reserves none and returns the name of that target.
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

// onStarved preempts one bulk generation of the pool, so that an urgent request can start.
// The generation loses no tokens: it keeps its KV cache if possible, and resumes later.
func (r *Router) onStarved(pool string, _ *admission.Request) {
	preempted := r.registry.preemptible(pool)
	if preempted == nil {
		return
	}
	select {
	case preempted.preempt <- struct{}{}:
		r.Observer.Preempted()
	default:
	}
}

// chooseModel distributes the requests over the profile's models by weight. The same request
// always gets the same model.
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
