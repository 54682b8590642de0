package httpplatform

import "fmt"

// attemptError reports a request without a complete response.
type attemptError struct {
	path string
	// sent is set if bytes of the request may have left this VM.
	sent bool
	// reused is set if the connection had carried a request before.
	reused bool
	// timedOut is set if the attempt's context reached its deadline.
	timedOut bool
	cause    error
}

// Error implements the error interface.
func (e *attemptError) Error() string {
	return fmt.Sprintf("%s (sent %t, used connection %t, timed out %t): %v", e.path, e.sent, e.reused, e.timedOut, e.cause)
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

// connectionSilent reports whether the attempt timed out on a connection that had worked
// before.
func (e *attemptError) connectionSilent() bool { return e.sent && e.reused && e.timedOut }
