package confstore

import "fmt"

// NotWrittenError reports that a proposal wrote nothing and that its transactions can
// never be applied.
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
