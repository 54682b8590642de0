package engine

import "fmt"

// OpenError reports that a stage could not be opened.
type OpenError struct {
	Address string
	// Sent says whether a part of the request may have left this VM. If not, the engine
	// cannot have accepted it.
	Sent bool
	// Status is the HTTP status of a refusal, 0 if there was none.
	Status int
	// Busy says that the engine refused because it has no free slot at present.
	Busy  bool
	Cause error
}

// Error implements error.
func (e *OpenError) Error() string {
	return fmt.Sprintf("open stage at %s: status %d: %v", e.Address, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Cause }
