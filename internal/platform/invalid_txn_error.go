package platform

import "fmt"

// InvalidTxnError reports a transaction that is not sent, because its outcome could not
// be determined if the response was lost. It matches ErrRefused, as nothing took effect.
type InvalidTxnError struct {
	TxnID  string
	Reason string
}

// Error implements the error interface.
func (e *InvalidTxnError) Error() string {
	return fmt.Sprintf("transaction %q is invalid: %s", e.TxnID, e.Reason)
}

// Is makes errors.Is(err, ErrRefused) return true.
func (e *InvalidTxnError) Is(target error) bool { return target == ErrRefused }
