package router

import (
	"context"
	"time"

	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/outcome"
)

// claimGrace is how long after a request's deadline its claim is kept at least,
// so that a copy of the request that the network held back still finds it.
const claimGrace = 24 * time.Hour

// claimFinishTimeout bounds the write of a claim's outcome.
const claimFinishTimeout = 2 * time.Second

func (e *entry) keyed() bool {
	return e.id.IdempotencyKey != "" && !e.profile.Idempotent
}

func (e *entry) claimKey() claim.Key {
	return claim.Key{Workspace: e.profile.Workspace, Profile: e.profile.Name, Key: e.id.IdempotencyKey}
}

// takeClaim claims a keyed request that is not idempotent. It returns a kept
// answer where the request completed before.
func (r *Router) takeClaim(ctx context.Context, e *entry) (*claim.Answer, *outcome.Failure) {
	if !e.keyed() {
		return nil, nil
	}
	e.enter(PhaseClaiming)
	if r.Claims == nil {
		return nil, outcome.Uncertain(outcome.ReasonStoreUnavailable, "the claim could not be read; an earlier request with this key may have run")
	}
	decision := r.Claims.Claim(claim.WithUrgency(ctx, e.profile.Urgency), e.claimKey(), e.id.RequestID, e.id.Digest, e.deadline.Add(claimGrace))
	if decision.Run {
		return nil, nil
	}
	return decision.Replay, decision.Failure
}

// settleClaim writes the outcome of a claimed request. "Not run" may be told
// only once the tombstone stands, for without it a delayed copy of the request
// could run later; where it cannot be written the outcome becomes unknown.
func (r *Router) settleClaim(ctx context.Context, e *entry, failure *outcome.Failure, answer *claim.Answer) *outcome.Failure {
	if !e.keyed() {
		return failure
	}
	e.enter(PhaseEnding)
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimFinishTimeout)
	defer cancel()
	result := outcome.Complete
	if failure != nil {
		result = failure.Outcome
	}
	err := r.Claims.Finish(claim.WithUrgency(bounded, e.profile.Urgency), e.claimKey(), e.id.RequestID, result, answer)
	if err != nil && result == outcome.NotRun {
		return outcome.Uncertain(failure.Reason, "it did not run, but that could not be recorded, so a delayed copy may run").WithCause(err)
	}
	return failure
}
