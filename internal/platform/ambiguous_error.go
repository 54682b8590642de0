package platform

import "fmt"

// AmbiguousError reports a transaction that may have taken effect, with the rows as
// they were last read. It is ErrAmbiguous and nothing else: it does not unwrap to its
// cause, which is often that the service could not be asked what became of the
// transaction. Taken for ErrUnavailable, a write that takes effect later was told to
// its author as not written.
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
