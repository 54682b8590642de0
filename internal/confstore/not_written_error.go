package confstore

import "fmt"

// NotWrittenError reports a proposal that certainly wrote nothing and never will.
type NotWrittenError struct {
	ID    string
	Cause error
}

// Error implements error.
func (e *NotWrittenError) Error() string {
	return fmt.Sprintf("change %s was not written: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *NotWrittenError) Unwrap() error { return e.Cause }
