package dispatch

import (
	"fmt"

	"geraniumcroft/internal/outcome"
)

// attemptError is the failure of one attempt. It records whether the call may have run.
type attemptError struct {
	target string
	reason outcome.Reason
	// mayHaveRun is false only when it is certain that the call did not run.
	mayHaveRun bool
	// callerGone reports whether the context of the request was cancelled.
	callerGone bool
	cause      error
}

// Error implements error.
func (e *attemptError) Error() string {
	return fmt.Sprintf("attempt at %s (%s, may have run %t): %v", e.target, e.reason, e.mayHaveRun, e.cause)
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }
