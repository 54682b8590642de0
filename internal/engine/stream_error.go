package engine

import "fmt"

// StreamError reports that a stage's stream broke or went silent.
type StreamError struct {
	Address string
	// Silent says that nothing arrived within the time limit although the connection
	// was not closed.
	Silent bool
	Cause  error
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("stream from %s (silent %t): %v", e.Address, e.Silent, e.Cause)
}

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error { return e.Cause }
