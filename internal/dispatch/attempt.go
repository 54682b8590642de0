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

// attempt sends the job's call to the slot's target once and releases the slot.
func (d *Dispatcher) attempt(ctx context.Context, job *Job, slot *balance.Slot) (service.Response, *attemptError) {
	if job.Call.Idempotent {
		bounded, cancel := context.WithTimeout(ctx, d.settings.AttemptTimeout)
		defer cancel()
		ctx = bounded
	}
	response, failure := d.send(ctx, job, slot)
	slot.Release(verdict(failure))
	return response, failure
}

func (d *Dispatcher) send(ctx context.Context, job *Job, slot *balance.Slot) (service.Response, *attemptError) {
	target := slot.Target()
	conn, err := d.connect(ctx, target.Address, !job.Call.Idempotent)
	if err != nil {
		return service.Response{}, d.failed(ctx, target.Name, false, err)
	}
	if ctx.Err() != nil || !job.SendGuard.BeginSend() {
		conn.Discard()
		return service.Response{}, d.failed(ctx, target.Name, false, ctx.Err())
	}
	response, err := conn.Do(ctx, job.Call)
	if err != nil {
		return service.Response{}, d.failed(ctx, target.Name, true, err)
	}
	return d.judge(job, target.Name, response)
}

func (d *Dispatcher) connect(ctx context.Context, address string, fresh bool) (service.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, d.settings.ConnectTimeout)
	defer cancel()
	return d.client.Connect(bounded, address, fresh)
}

// judge decides whether a whole response is the call's answer.
func (d *Dispatcher) judge(job *Job, target string, response service.Response) (service.Response, *attemptError) {
	own := response.RequestID == job.Call.RequestID
	if !d.invariants.Check(own, invariant.AnswerToAsker, "request %s got the answer to %q from %s", job.Call.RequestID, response.RequestID, target) {
		return response, &attemptError{target: target, reason: outcome.ReasonTargetFailed, mayHaveRun: true, cause: errors.New("answer to another request")}
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

func (d *Dispatcher) failed(ctx context.Context, target string, sent bool, cause error) *attemptError {
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

// verdict is what an attempt says of its target. A cancelled attempt says nothing.
func verdict(failure *attemptError) balance.Result {
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
