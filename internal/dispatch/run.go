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

// run is the attempts of one call.
type run struct {
	dispatcher *Dispatcher
	ctx        context.Context
	cancel     context.CancelFunc
	job        *Job
	results    chan result
	pending    int
	attempts   int
	tried      []string
	last       *attemptError
}

func newRun(d *Dispatcher, ctx context.Context, job *Job) *run {
	attemptCtx, cancel := context.WithCancel(ctx)
	return &run{
		dispatcher: d, ctx: attemptCtx, cancel: cancel, job: job,
		results: make(chan result, max(1, d.settings.MaxAttempts)),
	}
}

func (r *run) end() {
	r.job.SendGuard.Close()
	r.cancel()
}

func (r *run) start(slot *balance.Slot) {
	r.attempts++
	r.pending++
	r.tried = append(r.tried, slot.Target().Name)
	go func() {
		response, failure := r.dispatcher.attempt(r.ctx, r.job, slot)
		r.results <- result{response, failure}
	}()
}

func (r *run) loop() (service.Response, error) {
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
			r.another("hedge")
		case <-r.ctx.Done():
			return service.Response{}, r.failure()
		}
	}
}

func (r *run) hedgeTimer() <-chan time.Time {
	urgent := r.job.Urgency == config.Urgent
	if !urgent || !r.job.Call.Idempotent || r.dispatcher.settings.HedgeAfter <= 0 {
		return nil
	}
	return time.After(r.dispatcher.settings.HedgeAfter)
}

// retry starts another attempt if the call may be sent again. After a crossing
// of the boundary only an idempotent call may.
func (r *run) retry() bool {
	if r.ctx.Err() != nil {
		return false
	}
	if !r.job.Call.Idempotent && r.job.SendGuard.MayHaveRun() {
		return false
	}
	return r.another("retry")
}

func (r *run) another(kind string) bool {
	if r.attempts >= r.dispatcher.settings.MaxAttempts {
		return false
	}
	if !r.dispatcher.budget.Take(r.job.Urgency) {
		return false
	}
	slot, err := r.job.NextSlot(r.tried)
	if err != nil {
		return false
	}
	if r.dispatcher.observer != nil {
		r.dispatcher.observer.Retry(kind)
	}
	r.start(slot)
	return true
}

// failure says what is true once no attempt gave an answer. The boundary is
// closed first: an attempt that is still connecting can then never be sent, so
// what is said here stays true.
func (r *run) failure() *outcome.Failure {
	r.job.SendGuard.Close()
	reason, cause := r.reason()
	if r.job.SendGuard.MayHaveRun() {
		return outcome.Uncertain(reason, "the call was sent and no whole answer came back; it may have run").WithCause(cause)
	}
	return outcome.Refuse(reason, "no target took the call; it did not run").WithCause(cause).WithRetryAfter(time.Second)
}

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
