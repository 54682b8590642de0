package admission

import (
	"context"
	"errors"
	"time"

	"geraniumcroft/internal/outcome"
)

// Bounds of the retry-after time of a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

func refuseFull(drainTime time.Duration) *outcome.Failure {
	return outcome.Refuse(outcome.ReasonOverloaded, "the queue is full").WithRetryAfter(retryAfter(drainTime))
}

func refuseDisplaced(drainTime time.Duration) *outcome.Failure {
	return outcome.Refuse(outcome.ReasonOverloaded, "a more urgent request took the place in the queue").
		WithRetryAfter(retryAfter(drainTime))
}

func refuseWorkspaceFull(drainTime time.Duration) *outcome.Failure {
	return outcome.Refuse(outcome.ReasonWorkspaceLimit, "the workspace has too many requests queued").
		WithRetryAfter(retryAfter(drainTime))
}

func refuseDeadline(drainTime time.Duration) *outcome.Failure {
	return outcome.Refuse(outcome.ReasonDeadline, "the request cannot be answered before its deadline").
		WithRetryAfter(retryAfter(drainTime))
}

// refuseEnded returns the failure for a request whose context is done. If the cause is
// an *outcome.Failure, it is returned unchanged.
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

// retryAfter returns the expected time until the queue is empty, within the bounds.
func retryAfter(drainTime time.Duration) time.Duration {
	return min(max(drainTime, minRetryAfter), maxRetryAfter)
}
