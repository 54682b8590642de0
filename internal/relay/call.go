package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/pushback"
)

const (
	// attemptTimeoutFactor times the objective is how long one attempt of a repeatable call may
	// take before another replica is tried. A replica that hangs then leaves time for a second
	// attempt.
	attemptTimeoutFactor = 3
	// minAttemptTimeout is the lower bound of that timeout.
	minAttemptTimeout = 150 * time.Millisecond
)

// serveCall serves a request to which a single replica sends the whole response.
func (h *Handler) serveCall(ctx context.Context, w http.ResponseWriter, q *request) {
	defer h.releaseAnswer(q)
	result, failure := h.runCall(ctx, q)
	h.finish(q, failure)
	if failure != nil {
		h.refuse(w, q, failure)
		return
	}
	defer h.releaseResult(result)
	header := w.Header()
	for name, values := range withoutHopHeaders(result.header) {
		header[name] = values
	}
	writeAnswer(w, result.status, result.body.data)
}

// runCall sends a call until an attempt brings a response or no further attempt is allowed.
func (h *Handler) runCall(ctx context.Context, q *request) (*callResult, *outcome.Failure) {
	slot, failure := h.admitCall(ctx, q)
	if failure != nil {
		return nil, failure
	}
	var attempts callAttempts
	var last *callResult
	for {
		result, err := h.attempt(ctx, q, slot)
		attempts.add(slot.Target().Name, err == nil || mayHaveArrived(err))
		if err == nil && (result.status < http.StatusInternalServerError || !q.profile.Idempotent) {
			last.release()
			return result, nil
		}
		if err == nil {
			last.release()
			last = result
		}
		if lacksMemory(err) {
			return h.endCall(ctx, q, last, err)
		}
		next := h.nextSlot(ctx, q, &attempts)
		if next == nil {
			return h.endCall(ctx, q, last, err)
		}
		h.Observer.Retry("retry")
		slot = next
	}
}

// endCall ends a call without another attempt. If a replica responded with a failure of its own,
// that response is forwarded.
func (h *Handler) endCall(ctx context.Context, q *request, last *callResult, err error) (*callResult, *outcome.Failure) {
	if last != nil {
		return last, nil
	}
	return nil, failureOf(ctx, q, err)
}

// failureOf returns the failure of a request whose sends all ended without a response.
func failureOf(ctx context.Context, q *request, err error) *outcome.Failure {
	// The connection has the same deadline as the context and may time out first.
	late := errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(q.deadline)
	switch {
	case !q.sendGuard.MayHaveRun() && (late || ctx.Err() != nil):
		return outcome.Refuse(outcome.ReasonDeadline, "the request could not start in time").WithRetryAfter(defaultRetryAfter).WithCause(err)
	case !q.sendGuard.MayHaveRun():
		return outcome.Refuse(outcome.ReasonNoTarget, "no replica took the request").WithRetryAfter(defaultRetryAfter).WithCause(err)
	case late:
		return outcome.Uncertain(outcome.ReasonTargetSilent, "no answer came in time; the request may have run").WithCause(err)
	case ctx.Err() != nil:
		return outcome.Uncertain(outcome.ReasonCallerGone, "the caller left").WithCause(err)
	case lacksMemory(err):
		return outcome.Uncertain(outcome.ReasonOverloaded, "this VM has no memory for the answer; the request may have run").WithCause(err)
	}
	return outcome.Uncertain(outcome.ReasonTargetFailed, "the replica failed; the request may have run").WithCause(err)
}

// admitCall waits for a slot of a replica for the first attempt.
func (h *Handler) admitCall(ctx context.Context, q *request) (*balance.Slot, *outcome.Failure) {
	var slot *balance.Slot
	var pickErr error
	failure := h.admit(ctx, q, 1, false, func() bool {
		if !h.reserveAnswer(q) {
			return false
		}
		picked, err := h.Balancer.Pick(h.query(q, nil))
		if err != nil {
			h.releaseAnswer(q)
		}
		pickErr = nil
		if errors.Is(err, balance.ErrNoTarget) || h.throttledTooLong(q, err) != nil {
			pickErr = err
			return true
		}
		slot = picked
		return err == nil
	})
	if failure != nil {
		return nil, failure
	}
	if slot != nil {
		if failure := h.crashes.refusal(q); failure != nil {
			slot.Release(balance.ResultNeutral)
			return nil, failure
		}
	}
	if throttled := h.throttledTooLong(q, pickErr); throttled != nil {
		return nil, refuseThrottled(throttled)
	}
	if pickErr != nil {
		return nil, outcome.Refuse(outcome.ReasonNoTarget, "no replica of the service can take work now").WithRetryAfter(defaultRetryAfter).WithCause(pickErr)
	}
	return slot, nil
}

// admit queues the request until its turn. The function try takes capacity and returns true once
// the wait is over. A request that resumes a stream goes first and may wait until its deadline.
func (h *Handler) admit(ctx context.Context, q *request, cost int, resume bool, try func() bool) *outcome.Failure {
	queued := time.Now()
	maxWait := h.queueWait(q)
	if resume {
		maxWait = 0
	}
	err := h.Admission.Admit(ctx, &admission.Request{
		ID: q.RequestID, Workspace: q.workspace, Profile: q.profile.Name, Pool: q.service, Urgency: q.urgency(),
		Cost: cost, Arrival: q.arrival, Deadline: q.deadline, MaxQueueWait: maxWait, Resume: resume, WorkConserving: q.class.Competing(),
	}, try)
	waited := time.Since(queued)
	h.Observer.Queued(q.urgency(), waited)
	q.progress.addWait(waited)
	q.decisionLog.add("admission", zap.Duration("waited", waited), zap.Bool("admitted", err == nil))
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		return failure.WithRetryAfter(h.shortages.retryAfter(q.capacityShortage(), max(defaultRetryAfter, failure.RetryAfter)))
	}
	if err != nil {
		return outcome.Refuse(outcome.ReasonInternal, "the request was not admitted").WithRetryAfter(defaultRetryAfter).WithCause(err)
	}
	return nil
}

// queueWaitFactor times the objective is how long a request may wait in the queue. Callers abandon
// a stream that has not begun after four objectives; after three, the response could only be late.
const queueWaitFactor = 2.5

// queueWait returns how long a request may wait in the queue.
func (h *Handler) queueWait(q *request) time.Duration {
	if q.class.Competing() {
		return h.competingQueueWait(q)
	}
	return time.Duration(queueWaitFactor * float64(q.profile.Objective))
}

// query returns the balancer query for a request, without the excluded targets.
func (h *Handler) query(q *request, exclude []string) balance.Query {
	return balance.Query{Pool: q.service, Urgency: q.urgency(), Exclude: exclude, DataCentre: h.DataCentre}
}

// nextSlot returns a slot for another attempt, or nil if there is none. The attempt is charged to
// the retry budget if the previous one may have reached its replica.
func (h *Handler) nextSlot(ctx context.Context, q *request, attempts *callAttempts) *balance.Slot {
	mayRepeat := q.profile.Repeatable() || !q.sendGuard.MayHaveRun()
	if ctx.Err() != nil || !mayRepeat || h.crashes.lookup(q).Quarantined || attempts.exhausted(q.profile.MaxAttempts) {
		return nil
	}
	slot, err := h.Balancer.Pick(h.query(q, attempts.targets))
	if err != nil {
		q.decisionLog.add("no other replica", zap.Error(err))
		return nil
	}
	if attempts.lastArrived && !h.RetryBudgets.Budget(q.service).Take() {
		slot.Release(balance.ResultNeutral)
		h.logBudgetSpent(q)
		return nil
	}
	return slot
}

// logBudgetSpent records that the request was not sent again for want of retry budget.
func (h *Handler) logBudgetSpent(q *request) {
	usage := h.RetryBudgets.Budget(q.service).Usage()
	q.decisionLog.add("retry budget spent", zap.Int("requests", usage.Requests), zap.Int("retries", usage.Retries), zap.Int("limit", usage.Limit))
}

// attempt sends the call to the slot's replica and reads the complete response.
func (h *Handler) attempt(ctx context.Context, q *request, slot *balance.Slot) (*callResult, error) {
	replica := slot.Target()
	if q.profile.Idempotent {
		timeout := max(minAttemptTimeout, time.Duration(attemptTimeoutFactor*float64(q.profile.Objective)))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	q.decisionLog.add("sent", h.logList(zap.String("replica", replica.Name), zap.String("address", replica.Address), zap.Duration("left", q.remaining()))...)
	result, err := h.roundTrip(ctx, q, target{address: replica.Address, incarnation: incarnation.Parse(replica.Name), dataCentre: replica.DataCentre})
	slot.Release(attemptResult(ctx, result, err))
	switch {
	case err == nil:
		h.crashes.runSucceeded(q)
	case ctx.Err() == nil && brokeAfterSend(err) && !lacksMemory(err):
		h.crashes.recordBrokenCall(q, incarnation.Parse(replica.Name), h.targetEnded(replica.Address))
	}
	if err != nil {
		q.decisionLog.add("attempt failed", zap.String("replica", replica.Name), zap.Error(err))
	}
	return result, err
}

// roundTrip sends the call to a replica and reads the complete response.
func (h *Handler) roundTrip(ctx context.Context, q *request, to target) (*callResult, error) {
	x, err := h.open(ctx, q, to, "")
	if err != nil {
		return nil, err
	}
	defer x.close()
	if x.head.NotRun {
		// The load is not recorded: a report with free slots would end the hold on the busy replica.
		return nil, &notRunError{Address: to.address, Status: x.resp.StatusCode}
	}
	h.recordLoad(to.incarnation.String(), x.head)
	q.runs++
	body, err := x.body(h.bodies, q.answerCredit)
	q.answerCredit = 0
	if err != nil {
		return nil, &sendError{Address: to.address, Sent: true, Cause: err}
	}
	if err := h.checkUnframedCall(x, to); err != nil {
		body.release()
		return nil, &sendError{Address: to.address, Sent: true, Cause: err}
	}
	h.answerSizes.record(q.profile.Name, int64(len(body.data)))
	if err := x.undeclaredRefusal(q.profile); err != nil {
		body.release()
		return nil, err
	}
	return &callResult{status: x.resp.StatusCode, header: x.resp.Header, body: body}, nil
}

// recordLoad passes a replica's load on to the balancer, if the response states it.
func (h *Handler) recordLoad(replica string, r Response) {
	if r.HasLoad {
		h.Balancer.Report(replica, engine.LoadReport{At: time.Now(), Active: r.Running, Queued: r.Waiting, Slots: r.Slots})
	}
}

// attemptResult returns what an attempt shows about the replica.
func attemptResult(ctx context.Context, result *callResult, err error) balance.Result {
	var busy *notRunError
	var throttled *pushback.ThrottledError
	var departed *departedError
	switch {
	case errors.As(err, &throttled), errors.As(err, &departed):
		return balance.ResultNeutral
	case errors.As(err, &busy):
		return balance.ResultBusy
	case errors.Is(ctx.Err(), context.Canceled), lacksMemory(err):
		return balance.ResultNeutral
	case err != nil:
		return balance.ResultFailed
	case result.status >= http.StatusInternalServerError:
		return balance.ResultNeutral
	}
	return balance.ResultOK
}
