package httpplatform

import "fmt"

// attemptError reports one request without a whole answer.
type attemptError struct {
	path string
	// sent says whether a byte may have left this VM.
	sent bool
	// reused says that the connection had carried a request before.
	reused bool
	// timedOut says that the attempt's own bound ran out.
	timedOut bool
	cause    error
}

// Error implements error.
func (e *attemptError) Error() string {
	return fmt.Sprintf("%s (sent %t, used connection %t, timed out %t): %v", e.path, e.sent, e.reused, e.timedOut, e.cause)
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

// wentSilent says that a connection which had worked no longer answers.
func (e *attemptError) wentSilent() bool { return e.sent && e.reused && e.timedOut }
