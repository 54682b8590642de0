package dispatch

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/service"
)

// attempt sends the call once to the target of the slot and releases the slot. An attempt of an
// idempotent call ends after Settings.AttemptTimeout.
func (d *Dispatcher) attempt(ctx context.Context, job *Job, slot *balance.Slot) (service.Response, *attemptError) {
	if job.Call.Idempotent {
		bounded, cancel := context.WithTimeout(ctx, d.settings.AttemptTimeout)
		defer cancel()
		ctx = bounded
	}
	response, failure := d.send(ctx, job, slot)
	slot.Release(slotResult(failure))
	return response, failure
}

// send connects to the target of the slot, sends the call unless the send guard forbids it, and checks
// the response.
func (d *Dispatcher) send(ctx context.Context, job *Job, slot *balance.Slot) (service.Response, *attemptError) {
	target := slot.Target()
	conn, err := d.connect(ctx, target.Address, !job.Call.Idempotent)
	if err != nil {
		return service.Response{}, d.newAttemptError(ctx, target.Name, false, err)
	}
	if ctx.Err() != nil || !job.SendGuard.BeginSend() {
		conn.Release()
		return service.Response{}, d.newAttemptError(ctx, target.Name, false, ctx.Err())
	}
	response, err := conn.Do(ctx, job.Call)
	if err != nil {
		return service.Response{}, d.newAttemptError(ctx, target.Name, true, err)
	}
	return d.checkResponse(job, target.Name, response)
}

// connect opens a connection to the address, within Settings.ConnectTimeout.
func (d *Dispatcher) connect(ctx context.Context, address string, fresh bool) (service.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, d.settings.ConnectTimeout)
	defer cancel()
	return d.client.Connect(bounded, address, fresh)
}

// checkResponse returns an error if a complete response is not the result of the call: if it belongs to
// another request, declares that the call did not run, or has a 5xx status.
func (d *Dispatcher) checkResponse(job *Job, target string, response service.Response) (service.Response, *attemptError) {
	own := response.RequestID == job.Call.RequestID
	if !d.invariants.Check(own, invariant.AnswerMatchesRequest, "request %s got the answer to %q from %s", job.Call.RequestID, response.RequestID, target) {
		return response, &attemptError{target: target, reason: outcome.ReasonTargetFailed, mayHaveRun: true, cause: errors.New("response to another request")}
	}
	if response.NotRun {
		job.SendGuard.MarkNotRun()
		return response, &attemptError{target: target, reason: outcome.ReasonTargetFailed, cause: errors.New("the service did not run the call")}
	}
	if response.Status >= http.StatusInternalServerError {
		return response, &attemptError{target: target, reason: outcome.ReasonTargetFailed, mayHaveRun: true, cause: fmt.Errorf("status %d", response.Status)}
	}
	return response, nil
}

// newAttemptError returns the error of an attempt that got no response. sent reports whether the call
// may have been sent.
func (d *Dispatcher) newAttemptError(ctx context.Context, target string, sent bool, cause error) *attemptError {
	failure := &attemptError{target: target, reason: outcome.ReasonTargetFailed, mayHaveRun: sent, cause: cause}
	var call *service.CallError
	if errors.As(cause, &call) && call.Silent {
		failure.reason = outcome.ReasonTargetSilent
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failure.reason = outcome.ReasonTargetSilent
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		failure.callerGone = true
	}
	return failure
}

// slotResult returns the result of an attempt for the health tracking of its target. A cancelled attempt
// is neutral.
func slotResult(failure *attemptError) balance.Result {
	switch {
	case failure == nil:
		return balance.ResultOK
	case failure.callerGone:
		return balance.ResultNeutral
	case failure.reason == outcome.ReasonTargetSilent:
		return balance.ResultSlow
	default:
		return balance.ResultFailed
	}
}
