package resilient

// impatientError wraps the error of an operation whose caller left it no time.
type impatientError struct{ cause error }

// Error implements error.
func (e *impatientError) Error() string { return e.cause.Error() }
