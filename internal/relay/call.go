package relay

import (
	"context"
	"net/http"
	"strconv"
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
	// attemptObjectives is how many times its objective one attempt of a repeatable
	// call may take before another replica is tried: a replica that hangs then leaves
	// time for the second one.
	attemptObjectives = 3
	// minAttempt bounds it from below.
	minAttempt = 150 * time.Millisecond
)

// call serves a request that one replica answers whole.
func (h *Handler) call(ctx context.Context, w http.ResponseWriter, q *request) {
	result, failure := h.runCall(ctx, q)
	h.finish(q, failure)
	if failure != nil {
		h.refuse(w, q, failure)
		return
	}
	header := w.Header()
	for name, values := range withoutHops(result.header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(result.body)))
	w.WriteHeader(result.status)
	_, _ = w.Write(result.body) // the answer is whole; a caller that left does not read it
}

// callResult is a replica's whole answer.
type callResult struct {
	status int
	header http.Header
	body   []byte
}

func (h *Handler) runCall(ctx context.Context, q *request) (*callResult, *outcome.Failure) {
	slot, failure := h.admitCall(ctx, q)
	if failure != nil {
		return nil, failure
	}
	var tries callTries
	var last *callResult
	for {
		result, err := h.attempt(ctx, q, slot)
		tries.add(slot.Target().Name, err == nil || mayHaveArrived(err))
		if err == nil && (result.status < http.StatusInternalServerError || !q.profile.Idempotent) {
			return result, nil
		}
		if err == nil {
			last = result
		}
		next := h.nextSlot(ctx, q, &tries)
		if next == nil {
			return h.giveUp(ctx, q, last, err)
		}
		h.Observer.Retry("retry")
		slot = next
	}
}

// giveUp ends a call without another attempt. The replica's own failure is passed on
// where there is one.
func (h *Handler) giveUp(ctx context.Context, q *request, last *callResult, err error) (*callResult, *outcome.Failure) {
	if last != nil {
		return last, nil
	}
	return nil, failureOf(ctx, q, err)
}

// failureOf says what is true of a request whose sends all ended without an answer.
func failureOf(ctx context.Context, q *request, err error) *outcome.Failure {
	// The connection has the same deadline as the context, and may be the first to end.
	late := errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(q.deadline)
	switch {
	case !q.boundary.MayHaveRun() && (late || ctx.Err() != nil):
		return outcome.Refuse(outcome.ReasonDeadline, "the request could not start in time").WithRetryAfter(soon).WithCause(err)
	case !q.boundary.MayHaveRun():
		return outcome.Refuse(outcome.ReasonNoTarget, "no replica took the request").WithRetryAfter(soon).WithCause(err)
	case late:
		return outcome.Uncertain(outcome.ReasonTargetSilent, "no answer came in time; the request may have run").WithCause(err)
	case ctx.Err() != nil:
		return outcome.Uncertain(outcome.ReasonCallerGone, "the caller left").WithCause(err)
	}
	return outcome.Uncertain(outcome.ReasonTargetFailed, "the replica failed; the request may have run").WithCause(err)
}

func (h *Handler) admitCall(ctx context.Context, q *request) (*balance.Slot, *outcome.Failure) {
	var slot *balance.Slot
	var none error
	failure := h.admit(ctx, q, 1, false, func() bool {
		picked, err := h.Balancer.Pick(h.query(q, nil))
		none = nil
		if errors.Is(err, balance.ErrNoTarget) || h.heldTooLong(q, err) != nil {
			none = err
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
	if held := h.heldTooLong(q, none); held != nil {
		return nil, refuseHeld(held)
	}
	if none != nil {
		return nil, outcome.Refuse(outcome.ReasonNoTarget, "no replica of the service can take work now").WithRetryAfter(soon).WithCause(none)
	}
	return slot, nil
}

// admit waits for the request's turn; try takes capacity. A request that resumes goes
// first and may wait as long as its caller does.
func (h *Handler) admit(ctx context.Context, q *request, cost int, resume bool, try func() bool) *outcome.Failure {
	queued := time.Now()
	most := h.queueWait(q)
	if resume {
		most = 0
	}
	err := h.Admission.Admit(ctx, &admission.Request{
		ID: q.RequestID, Workspace: q.workspace, Profile: q.profile.Name, Pool: q.service, Urgency: q.urgency(),
		Cost: cost, Arrival: q.arrival, Deadline: q.deadline, MaxQueueWait: most, Resume: resume,
	}, try)
	waited := time.Since(queued)
	h.Observer.Queued(q.urgency(), waited)
	q.progress.waitedFor(waited)
	q.story.add("admission", zap.Duration("waited", waited), zap.Bool("admitted", err == nil))
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		return failure.WithRetryAfter(h.shortages.retryAfter(lackOfRoom+q.service, max(soon, failure.RetryAfter)))
	}
	if err != nil {
		return outcome.Refuse(outcome.ReasonInternal, "the request was not admitted").WithRetryAfter(soon).WithCause(err)
	}
	return nil
}

// queueObjectives is how many times its objective a request may wait for its turn.
// Callers leave a stream that has not begun after four; by three the answer could
// only come late.
const queueObjectives = 2.5

func (h *Handler) queueWait(q *request) time.Duration {
	return time.Duration(queueObjectives * float64(q.profile.Objective))
}

func (h *Handler) query(q *request, exclude []string) balance.Query {
	return balance.Query{Pool: q.service, Urgency: q.urgency(), Exclude: exclude, DataCentre: h.DataCentre}
}

// nextSlot returns a slot for one more attempt, or nil. The attempt is paid for if the
// one before may have arrived.
func (h *Handler) nextSlot(ctx context.Context, q *request, tries *callTries) *balance.Slot {
	mayRepeat := q.profile.Repeatable() || !q.boundary.MayHaveRun()
	if ctx.Err() != nil || !mayRepeat || h.crashes.judge(q).Quarantined || tries.spent(q.profile.MaxAttempts) {
		return nil
	}
	slot, err := h.Balancer.Pick(h.query(q, tries.targets))
	if err != nil {
		q.story.add("no other replica", zap.Error(err))
		return nil
	}
	if tries.lastArrived && !h.RetryBudgets.of(q.service).Take() {
		slot.Release(balance.ResultNeutral)
		q.story.add("retry budget spent")
		return nil
	}
	return slot
}

// attempt sends the call to the slot's replica and reads the whole answer.
func (h *Handler) attempt(ctx context.Context, q *request, slot *balance.Slot) (*callResult, error) {
	replica := slot.Target()
	if q.profile.Idempotent {
		bound := max(minAttempt, time.Duration(attemptObjectives*float64(q.profile.Objective)))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, bound)
		defer cancel()
	}
	q.story.add("sent", zap.String("replica", replica.Name), zap.String("address", replica.Address), zap.Duration("left", q.left()))
	result, err := h.exchange(ctx, q, target{address: replica.Address, incarnation: incarnation.Parse(replica.Name), dataCentre: replica.DataCentre})
	slot.Release(verdict(ctx, result, err))
	switch {
	case err == nil:
		h.crashes.ranWell(q)
	case ctx.Err() == nil && brokeOff(err):
		h.crashes.brokeAt(q, incarnation.Parse(replica.Name), h.targetEnded(replica.Address))
	}
	if err != nil {
		q.story.add("attempt failed", zap.String("replica", replica.Name), zap.Error(err))
	}
	return result, err
}

func (h *Handler) exchange(ctx context.Context, q *request, to target) (*callResult, error) {
	x, err := h.open(ctx, q, to, "")
	if err != nil {
		return nil, err
	}
	defer x.close()
	if x.answer.NotRun {
		// Its load is not taken: one that shows slots would end the hold on the replica.
		return nil, &notRunError{Address: to.address, Status: x.resp.StatusCode}
	}
	h.learnLoad(to.incarnation.String(), x.answer)
	q.runs++
	body, err := x.body()
	if err != nil {
		return nil, &sendError{Address: to.address, Sent: true, Cause: err}
	}
	return &callResult{status: x.resp.StatusCode, header: x.resp.Header, body: body}, nil
}

func (h *Handler) learnLoad(replica string, a Response) {
	if a.HasLoad {
		h.Balancer.Report(replica, engine.LoadReport{At: time.Now(), Active: a.Running, Queued: a.Waiting, Slots: a.Slots})
	}
}

// verdict says what an attempt tells about the replica.
func verdict(ctx context.Context, result *callResult, err error) balance.Result {
	var busy *notRunError
	var held *pushback.ThrottledError
	switch {
	case errors.As(err, &held):
		return balance.ResultNeutral
	case errors.As(err, &busy):
		return balance.ResultBusy
	case errors.Is(ctx.Err(), context.Canceled):
		return balance.ResultNeutral
	case err != nil:
		return balance.ResultFailed
	case result.status >= http.StatusInternalServerError:
		return balance.ResultNeutral
	}
	return balance.ResultOK
}
