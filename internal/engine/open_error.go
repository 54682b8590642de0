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
