package outcome

import (
	"fmt"
	"time"
)

// Failure is the error that ends a request without its whole answer. It is the
// only error type that reaches the callers' API.
type Failure struct {
	// Outcome is NotRun or Unknown, never Complete.
	Outcome Outcome
	Reason  Reason
	// Detail is one sentence for the caller; it holds no secret.
	Detail string
	// RetryAfter is when a retry can help; 0 when none does.
	RetryAfter time.Duration
	// Cause is for logs and not shown to callers; it may be nil.
	Cause error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Outcome, f.Reason, f.Detail)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Refuse returns a NotRun failure.
func Refuse(reason Reason, detail string) *Failure {
	return &Failure{Outcome: NotRun, Reason: reason, Detail: detail}
}

// Uncertain returns an Unknown failure.
func Uncertain(reason Reason, detail string) *Failure {
	return &Failure{Outcome: Unknown, Reason: reason, Detail: detail}
}

// WithRetryAfter returns a copy of f that tells the caller when to come back.
func (f *Failure) WithRetryAfter(wait time.Duration) *Failure {
	copied := *f
	copied.RetryAfter = wait
	return &copied
}

// WithCause returns a copy of f with a cause for the logs.
func (f *Failure) WithCause(cause error) *Failure {
	copied := *f
	copied.Cause = cause
	return &copied
}
