package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/service"
)

// run holds the attempts of one call. It is used by a single goroutine; attempts run in goroutines of
// their own and send their results on the results channel.
type run struct {
	dispatcher   *Dispatcher
	ctx          context.Context
	cancel       context.CancelFunc
	job          *Job
	results      chan attemptResult
	pending      int // attempts without a result
	attempts     int // attempts started
	triedTargets []string
	last         *attemptError
}

func newRun(d *Dispatcher, ctx context.Context, job *Job) *run {
	attemptCtx, cancel := context.WithCancel(ctx)
	return &run{
		dispatcher: d, ctx: attemptCtx, cancel: cancel, job: job,
		results: make(chan attemptResult, max(1, d.settings.MaxAttempts)),
	}
}

// finish prevents further sends and cancels the attempts that have not ended.
func (r *run) finish() {
	r.job.SendGuard.Close()
	r.cancel()
}

// start starts an attempt with the slot.
func (r *run) start(slot *balance.Slot) {
	r.attempts++
	r.pending++
	r.triedTargets = append(r.triedTargets, slot.Target().Name)
	go func() {
		response, failure := r.dispatcher.attempt(r.ctx, r.job, slot)
		r.results <- attemptResult{response, failure}
	}()
}

// wait makes the first attempt and then retries or hedges until there is a response, no attempt is left,
// or the context is done.
func (r *run) wait() (service.Response, error) {
	r.start(r.job.FirstSlot)
	hedge := r.hedgeTimer()
	for {
		select {
		case got := <-r.results:
			r.pending--
			if got.failure == nil {
				return got.response, nil
			}
			r.last = got.failure
			if !r.retry() && r.pending == 0 {
				return service.Response{}, r.failure()
			}
		case <-hedge:
			hedge = nil
			r.startExtra("hedge")
		case <-r.ctx.Done():
			return service.Response{}, r.failure()
		}
	}
}

// hedgeTimer returns a channel that receives when a hedge is due, nil if the call must not be hedged.
func (r *run) hedgeTimer() <-chan time.Time {
	urgent := r.job.Urgency == config.Urgent
	if !urgent || !r.job.Call.Idempotent || r.dispatcher.settings.HedgeAfter <= 0 {
		return nil
	}
	return time.After(r.dispatcher.settings.HedgeAfter)
}

// retry starts another attempt if the call may be sent again, and reports whether it did. A call that may
// have run is sent again only if it is idempotent.
func (r *run) retry() bool {
	if r.ctx.Err() != nil {
		return false
	}
	if !r.job.Call.Idempotent && r.job.SendGuard.MayHaveRun() {
		return false
	}
	return r.startExtra("retry")
}

// startExtra starts an attempt after the first if the attempts, the budget and the targets permit it, and
// reports whether it did.
func (r *run) startExtra(kind string) bool {
	if r.attempts >= r.dispatcher.settings.MaxAttempts {
		return false
	}
	if !r.dispatcher.budget.Take(r.job.Urgency) {
		return false
	}
	slot, err := r.job.NextSlot(r.triedTargets)
	if err != nil {
		return false
	}
	if r.dispatcher.observer != nil {
		r.dispatcher.observer.Retry(kind)
	}
	r.start(slot)
	return true
}

// failure returns the outcome after no attempt returned a response. It closes the send guard first, so
// that an attempt that is still connecting cannot be sent afterwards and the outcome remains true.
func (r *run) failure() *outcome.Failure {
	r.job.SendGuard.Close()
	reason, cause := r.reason()
	if r.job.SendGuard.MayHaveRun() {
		return outcome.Uncertain(reason, "the call was sent and no whole answer came back; it may have run").WithCause(cause)
	}
	return outcome.Refuse(reason, "no target took the call; it did not run").WithCause(cause).WithRetryAfter(time.Second)
}

// reason returns the reason and the cause of the failure.
func (r *run) reason() (outcome.Reason, error) {
	switch {
	case errors.Is(r.ctx.Err(), context.Canceled):
		return outcome.ReasonCallerGone, r.ctx.Err()
	case r.ctx.Err() != nil:
		return outcome.ReasonDeadline, r.ctx.Err()
	case r.last != nil:
		return r.last.reason, r.last
	}
	return outcome.ReasonInternal, nil
}
