package engine

import "fmt"

// OpenError reports that a stage could not be opened.
type OpenError struct {
	Address string
	// Sent says whether the request left this VM; if not, the engine cannot have
	// taken it.
	Sent bool
	// Status is the HTTP status of a refusal, 0 when there was no answer.
	Status int
	// Busy says that the engine refused because it has no free slot now.
	Busy  bool
	Cause error
}

// Error implements error.
func (e *OpenError) Error() string {
	return fmt.Sprintf("open stage at %s: status %d: %v", e.Address, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Cause }

// StreamError reports that a stage's stream broke or went silent.
type StreamError struct {
	Address string
	// Silent says that nothing arrived within the bound while the connection stood.
	Silent bool
	Cause  error
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("stream from %s (silent %t): %v", e.Address, e.Silent, e.Cause)
}

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error { return e.Cause }

// OrderError reports that an order was refused or its answer lost.
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
