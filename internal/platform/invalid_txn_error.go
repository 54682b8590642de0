package platform

import "fmt"

// InvalidTxnError reports a transaction that cannot be sent: its answer, once lost,
// could not be resolved. It is ErrRefused, as nothing was sent.
type InvalidTxnError struct {
	TxnID  string
	Reason string
}

// Error implements error.
func (e *InvalidTxnError) Error() string {
	return fmt.Sprintf("transaction %q is invalid: %s", e.TxnID, e.Reason)
}

// Is makes errors.Is(err, ErrRefused) true.
func (e *InvalidTxnError) Is(target error) bool { return target == ErrRefused }
