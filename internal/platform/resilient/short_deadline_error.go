package resilient

// shortDeadlineError wraps the error of an operation whose caller's deadline ended before
// the service had minAttemptTime. It does not count as a failure of the service.
type shortDeadlineError struct{ cause error }

// Error implements the error interface.
func (e *shortDeadlineError) Error() string { return e.cause.Error() }
