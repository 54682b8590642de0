package platform

import "fmt"

// AmbiguousError reports a transaction that may have taken effect, with the rows as
// they were last read. It is ErrAmbiguous.
type AmbiguousError struct {
	TxnID string
	// Rows is nil when they could not be read.
	Rows  []Row
	Cause error
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("transaction %s may have taken effect: %v", e.TxnID, e.Cause)
}

// Is makes errors.Is(err, ErrAmbiguous) true.
func (e *AmbiguousError) Is(target error) bool { return target == ErrAmbiguous }

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }
