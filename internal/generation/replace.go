package generation

import (
	"errors"
	"maps"
	"slices"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/plan"
	"geraniumcroft/internal/sleep"
)

// replace asks for a placement. When the exclusions leave no target for some
// layers, they are lifted after a pause: a target that failed may have come back,
// and the alternative is to give the request up.
func (r *run) replace() *outcome.Failure {
	err := r.place()
	if noTarget(err) && len(r.excluded) > 0 {
		r.wait()
		clear(r.excluded)
		err = r.place()
	}
	if err == nil {
		return nil
	}
	if failure := r.ended(); failure != nil {
		return failure
	}
	var refused *outcome.Failure
	if !errors.As(err, &refused) {
		return r.fail(outcome.ReasonInternal, "no other engines could be had").WithCause(err)
	}
	return r.fail(refused.Reason, refused.Detail).WithRetryAfter(r.retryAfter(refused)).WithCause(err)
}

// retryAfter is the refusal's advice, but none where a retry could run a request
// twice that must not be.
func (r *run) retryAfter(refused *outcome.Failure) time.Duration {
	if r.started && !r.job.Idempotent {
		return 0
	}
	return refused.RetryAfter
}

func (r *run) place() error {
	placement, err := r.job.NextPlacement(r.ctx, slices.Sorted(maps.Keys(r.excluded)))
	if err != nil {
		return err
	}
	r.placement = placement
	return nil
}

func noTarget(err error) bool {
	var failure *outcome.Failure
	return errors.As(err, &failure) && failure.Reason == outcome.ReasonNoTarget
}

func (r *run) wait() {
	sleep.For(r.ctx, r.pause)
	r.pause = min(2*r.pause, r.runner.settings.MaxRetryPause)
}

// release gives the slots back, once. A preemption that was asked for until now
// is satisfied by it; one that comes later is for the next placement.
func (r *run) release(failed map[string]balance.Result) {
	if r.placement == nil {
		return
	}
	r.placement.Release(failed)
	r.placement = nil
	select {
	case <-r.job.Preempt:
	default:
	}
}

// checkPlacement refuses stages that do not cover the model's layers once and in
// order.
func (r *run) checkPlacement() *outcome.Failure {
	stages := r.placement.Stages()
	if len(stages) == 0 {
		return r.fail(outcome.ReasonInternal, "the plan has no stages")
	}
	if r.layers == 0 {
		r.layers = stages[len(stages)-1].Layers.To
	}
	if err := (plan.Plan{Stages: stages}).Check(r.layers); err != nil {
		return r.fail(outcome.ReasonInternal, "the plan does not cover the model").WithCause(err)
	}
	return nil
}
