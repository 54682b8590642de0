package engine

import "fmt"

// OrderError reports that an order was refused or that its response was lost.
type OrderError struct {
	Address string
	// OldFencing says that the engine has seen a higher fencing number.
	OldFencing bool
	// Ambiguous says that the order may have taken effect.
	Ambiguous bool
	Cause     error
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("order to %s (old fencing %t, ambiguous %t): %v", e.Address, e.OldFencing, e.Ambiguous, e.Cause)
}

// Unwrap returns the cause.
func (e *OrderError) Unwrap() error { return e.Cause }
