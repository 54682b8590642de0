package platform

import "fmt"

// AmbiguousError reports a transaction that may have taken effect, with the rows as
// they were last read. It matches ErrAmbiguous only and doesn't unwrap to Cause. The
// cause is often an ErrUnavailable from the attempt to read the rows back: a caller that
// matched it would report a write as not written although it takes effect later.
type AmbiguousError struct {
	TxnID string
	// Rows is nil when they could not be read.
	Rows []Row
	// Cause is shown in the error text.
	Cause error
}

// Error implements the error interface.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("transaction %s may have taken effect: %v", e.TxnID, e.Cause)
}

// Is makes errors.Is(err, ErrAmbiguous) return true.
func (e *AmbiguousError) Is(target error) bool { return target == ErrAmbiguous }
