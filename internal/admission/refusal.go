package admission

import (
	"context"
	"errors"
	"time"

	"geraniumcroft/internal/outcome"
)

// The bounds of the time after which a refused caller is asked to come back.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

func refuseFull(drain time.Duration) *outcome.Failure {
	return outcome.Refuse(outcome.ReasonOverloaded, "the queue is full").WithRetryAfter(retryAfter(drain))
}

func refuseDisplaced(drain time.Duration) *outcome.Failure {
	return outcome.Refuse(outcome.ReasonOverloaded, "a more urgent request took the place in the queue").
		WithRetryAfter(retryAfter(drain))
}

func refuseWorkspaceFull(drain time.Duration) *outcome.Failure {
	return outcome.Refuse(outcome.ReasonWorkspaceLimit, "the workspace has too many requests queued").
		WithRetryAfter(retryAfter(drain))
}

func refuseDeadline(drain time.Duration) *outcome.Failure {
	return outcome.Refuse(outcome.ReasonDeadline, "the request cannot be answered before its deadline").
		WithRetryAfter(retryAfter(drain))
}

// refuseEnded translates the end of the request's context. A cause that is a
// failure already is passed on.
func refuseEnded(ctx context.Context) *outcome.Failure {
	cause := context.Cause(ctx)
	var failure *outcome.Failure
	if errors.As(cause, &failure) {
		return failure
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return outcome.Refuse(outcome.ReasonDeadline, "the deadline passed in the queue").WithCause(cause)
	}
	return outcome.Refuse(outcome.ReasonCallerGone, "the caller went away").WithCause(cause)
}

func retryAfter(drain time.Duration) time.Duration {
	return min(max(drain, minRetryAfter), maxRetryAfter)
}
