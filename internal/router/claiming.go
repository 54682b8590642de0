package router

import (
	"context"
	"time"

	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/outcome"
)

// claimRetention is the minimum time for which a claim is kept after the deadline of its
// request, so that a copy of the request that the network delayed still finds it.
const claimRetention = 24 * time.Hour

// claimFinishTimeout bounds writing the outcome of a claim.
const claimFinishTimeout = 2 * time.Second

// needsClaim reports whether the request has an idempotency key and is not idempotent.
func (e *entry) needsClaim() bool {
	return e.meta.IdempotencyKey != "" && !e.profile.Idempotent
}

func (e *entry) claimKey() claim.Key {
	return claim.Key{Workspace: e.profile.Workspace, Profile: e.profile.Name, Key: e.meta.IdempotencyKey}
}

// takeClaim claims a request that needs a claim. It returns the stored answer if the
// request was completed before.
func (r *Router) takeClaim(ctx context.Context, e *entry) (*claim.Answer, *outcome.Failure) {
	if !e.needsClaim() {
		return nil, nil
	}
	e.setPhase(PhaseClaiming)
	if r.Claims == nil {
		return nil, outcome.Uncertain(outcome.ReasonStoreUnavailable, "the claim could not be read; an earlier request with this key may have run")
	}
	decision := r.Claims.Claim(claim.WithUrgency(ctx, e.profile.Urgency), e.claimKey(), e.meta.RequestID, e.meta.Digest, e.deadline.Add(claimRetention))
	if decision.Run {
		return nil, nil
	}
	return decision.Replay, decision.Failure
}

// finishClaim writes the outcome of a claimed request. The outcome "not run" may be
// reported only after its tombstone was written, because without it a delayed copy of the
// request could run later. If it cannot be written, the outcome becomes unknown.
func (r *Router) finishClaim(ctx context.Context, e *entry, failure *outcome.Failure, answer *claim.Answer) *outcome.Failure {
	if !e.needsClaim() {
		return failure
	}
	e.setPhase(PhaseEnding)
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimFinishTimeout)
	defer cancel()
	result := outcome.Complete
	if failure != nil {
		result = failure.Outcome
	}
	err := r.Claims.Finish(claim.WithUrgency(bounded, e.profile.Urgency), e.claimKey(), e.meta.RequestID, result, answer)
	if err != nil && result == outcome.NotRun {
		return outcome.Uncertain(failure.Reason, "it did not run, but that could not be recorded, so a delayed copy may run").WithCause(err)
	}
	return failure
}
