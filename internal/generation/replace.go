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

// replace gets another placement. If the exclusions leave no target for some layers,
// they are removed after a pause: a target that failed may work again, and otherwise
// the request would fail.
func (r *run) replace() *outcome.Failure {
	err := r.nextPlacement()
	if isNoTarget(err) && len(r.excluded) > 0 {
		r.waitRetryPause()
		clear(r.excluded)
		err = r.nextPlacement()
	}
	if err == nil {
		return nil
	}
	if failure := r.checkEnded(); failure != nil {
		return failure
	}
	var refused *outcome.Failure
	if !errors.As(err, &refused) {
		return r.newFailure(outcome.ReasonInternal, "no other engines could be had").WithCause(err)
	}
	return r.newFailure(refused.Reason, refused.Detail).WithRetryAfter(r.retryAfter(refused)).WithCause(err)
}

// retryAfter returns the refusal's RetryAfter, but 0 if a retry could run a request
// twice that is not idempotent.
func (r *run) retryAfter(refused *outcome.Failure) time.Duration {
	if r.mayHaveRun && !r.job.Idempotent {
		return 0
	}
	return refused.RetryAfter
}

// nextPlacement gets the next placement without the excluded targets.
func (r *run) nextPlacement() error {
	placement, err := r.job.NextPlacement(r.ctx, slices.Sorted(maps.Keys(r.excluded)))
	if err != nil {
		return err
	}
	r.placement = placement
	return nil
}

// isNoTarget reports whether the error says that no target holds some layers.
func isNoTarget(err error) bool {
	var failure *outcome.Failure
	return errors.As(err, &failure) && failure.Reason == outcome.ReasonNoTarget
}

// waitRetryPause waits for the retry pause, which doubles each time up to MaxRetryPause.
func (r *run) waitRetryPause() {
	sleep.For(r.ctx, r.retryPause)
	r.retryPause = min(2*r.retryPause, r.runner.settings.MaxRetryPause)
}

// release releases the slots once. This also satisfies a preemption that is already
// pending. A later one applies to the next placement.
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

// checkPlacement returns a failure if the stages do not cover the model's layers once
// and in order.
func (r *run) checkPlacement() *outcome.Failure {
	stages := r.placement.Stages()
	if len(stages) == 0 {
		return r.newFailure(outcome.ReasonInternal, "the plan has no stages")
	}
	if r.layers == 0 {
		r.layers = stages[len(stages)-1].Layers.To
	}
	if err := (plan.Plan{Stages: stages}).Check(r.layers); err != nil {
		return r.newFailure(outcome.ReasonInternal, "the plan does not cover the model").WithCause(err)
	}
	return nil
}
