package relay

import "fmt"

// sendError reports a send without an answer's head.
type sendError struct {
	Address string
	// Sent says whether a byte of the request may have left this VM.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *sendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer from %s: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("not sent to %s: %v", e.Address, e.Cause)
}

// Unwrap implements the errors package's convention.
func (e *sendError) Unwrap() error { return e.Cause }
