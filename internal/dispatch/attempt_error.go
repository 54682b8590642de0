package dispatch

import (
	"fmt"

	"geraniumcroft/internal/outcome"
)

// attemptError says why one attempt gave no answer and whether the call may
// have run in it.
type attemptError struct {
	target string
	reason outcome.Reason
	// mayHaveRun is false only when it is certain that the call did not run.
	mayHaveRun bool
	// callerGone says that the request's own context ended.
	callerGone bool
	cause      error
}

// Error implements error.
func (e *attemptError) Error() string {
	return fmt.Sprintf("attempt at %s (%s, may have run %t): %v", e.target, e.reason, e.mayHaveRun, e.cause)
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }
