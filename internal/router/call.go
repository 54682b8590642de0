package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/service"
)

// Call serves a call of a plain service. The error is an *outcome.Failure.
func (r *Router) Call(ctx context.Context, request CallRequest) (CallResult, error) {
	e, failure := r.begin(request.Metadata, config.ClassCall)
	if failure != nil {
		return CallResult{}, r.recordRefusal(request.Metadata, failure)
	}
	ctx, cancel := withDeadline(ctx, e)
	defer cancel()
	result, failure := r.call(ctx, e, request)
	r.finish(e, failure, 0)
	if failure != nil {
		return CallResult{}, failure
	}
	return result, nil
}

func (r *Router) call(ctx context.Context, e *entry, request CallRequest) (CallResult, *outcome.Failure) {
	stored, failure := r.takeClaim(ctx, e)
	if failure != nil {
		return CallResult{}, failure
	}
	if stored != nil {
		return CallResult{Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body, Replayed: true}, nil
	}
	result, failure := r.runCall(ctx, e, request)
	var answer *claim.Answer
	if failure == nil {
		answer = &claim.Answer{Status: result.Status, ContentType: result.ContentType, Body: result.Body}
	}
	return result, r.finishClaim(ctx, e, failure, answer)
}

func (r *Router) runCall(ctx context.Context, e *entry, request CallRequest) (CallResult, *outcome.Failure) {
	slot, err := r.admitCall(ctx, e)
	if err != nil {
		return CallResult{}, asFailure(err)
	}
	e.setPhase(PhaseRunning)
	started := time.Now()
	response, err := r.Dispatcher.Call(ctx, r.job(e, request, slot))
	if err != nil {
		return CallResult{}, asFailure(err)
	}
	r.recordDuration(e, time.Since(started))
	return CallResult{Status: response.Status, ContentType: response.Header.Get("Content-Type"), Body: response.Body}, nil
}

func (r *Router) job(e *entry, request CallRequest, slot *balance.Slot) dispatch.Job {
	return dispatch.Job{
		Call: service.Call{
			RequestID: e.meta.RequestID, Path: e.profile.Path, Body: request.Body, ContentType: request.ContentType,
			Idempotent: e.profile.Idempotent, IdempotencyKey: e.meta.IdempotencyKey,
		},
		Urgency:   e.profile.Urgency,
		SendGuard: e.sendGuard,
		FirstSlot: slot,
		NextSlot: func(exclude []string) (*balance.Slot, error) {
			return r.Balancer.Pick(r.query(e, exclude))
		},
	}
}

func (r *Router) query(e *entry, exclude []string) balance.Query {
	return balance.Query{Pool: e.pool, Urgency: e.profile.Urgency, Exclude: exclude, DataCentre: r.DataCentre}
}

// admitCall waits for a slot on a target of the entry's pool.
func (r *Router) admitCall(ctx context.Context, e *entry) (*balance.Slot, error) {
	var slot *balance.Slot
	var noTarget error
	err := r.admit(ctx, e, admissionCost{tokens: 1}, func(u config.Urgency) bool {
		query := r.query(e, nil)
		query.Urgency = u
		picked, err := r.Balancer.Pick(query)
		if errors.Is(err, balance.ErrNoTarget) {
			noTarget = err
			return true
		}
		slot = picked
		return err == nil
	})
	if err == nil && noTarget != nil {
		err = outcome.Refuse(outcome.ReasonNoTarget, "no target of the profile can take work now").WithRetryAfter(time.Second).WithCause(noTarget)
	}
	return slot, err
}

// admissionCost is what admission needs to know about a request in addition to its profile.
type admissionCost struct {
	tokens int
	resume bool
}

// admit waits until admission starts the request. try takes capacity for a request of the
// given urgency, and reports whether it got it.
func (r *Router) admit(ctx context.Context, e *entry, cost admissionCost, try func(config.Urgency) bool) error {
	e.setPhase(PhaseQueued)
	queued := time.Now()
	request := r.admissionRequest(e, cost)
	err := r.Admission.Admit(ctx, request, func() bool {
		// After this VM was paused, queued requests do not start before its configuration is
		// confirmed again.
		return !r.Gate.Stale() && try(request.EffectiveUrgency())
	})
	r.Observer.Queued(e.profile.Urgency, time.Since(queued))
	return err
}

func (r *Router) admissionRequest(e *entry, cost admissionCost) *admission.Request {
	return &admission.Request{
		ID: e.meta.RequestID, Workspace: e.profile.Workspace, Profile: e.profile.Name, Pool: e.pool,
		Urgency: e.profile.Urgency, Weight: r.workspaceWeight(e.profile.Workspace), Cost: max(1, cost.tokens),
		Arrival: e.meta.Arrival, Deadline: e.deadline, Expected: r.estimates.get(e.profile.Name),
		MaxQueueWait: time.Duration(e.profile.Limits.MaxQueueWait), Resume: cost.resume,
	}
}

// recordDuration records how long the request ran, for later estimates.
func (r *Router) recordDuration(e *entry, took time.Duration) {
	r.estimates.recordDuration(e.profile.Name, took)
	r.Admission.Finished(e.pool, took)
}
