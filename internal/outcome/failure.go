package outcome

import (
	"fmt"
	"time"
)

// Failure is the error of a request that ended without a complete response. It is
// the only error type that reaches the callers' API.
type Failure struct {
	// Outcome is NotRun or Unknown, never Complete.
	Outcome Outcome
	Reason  Reason
	// Detail is one sentence for the caller. It contains no secrets.
	Detail string
	// RetryAfter is the time after which a retry can help, 0 if no retry can.
	RetryAfter time.Duration
	// Cause is logged and not shown to the caller. It may be nil.
	Cause error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Outcome, f.Reason, f.Detail)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Refuse returns a failure with the outcome NotRun.
func Refuse(reason Reason, detail string) *Failure {
	return &Failure{Outcome: NotRun, Reason: reason, Detail: detail}
}

// Uncertain returns a failure with the outcome Unknown.
func Uncertain(reason Reason, detail string) *Failure {
	return &Failure{Outcome: Unknown, Reason: reason, Detail: detail}
}

// WithRetryAfter returns a copy of f that tells the caller when to retry.
func (f *Failure) WithRetryAfter(wait time.Duration) *Failure {
	copied := *f
	copied.RetryAfter = wait
	return &copied
}

// WithCause returns a copy of f with a cause for the log.
func (f *Failure) WithCause(cause error) *Failure {
	copied := *f
	copied.Cause = cause
	return &copied
}
