package service

import "fmt"

// CallError reports a call that got no complete response.
type CallError struct {
	Address string
	// Sent says whether a byte of the call may have left this VM.
	Sent bool
	// Silent says that nothing arrived within the time limit although the connection
	// was not closed.
	Silent bool
	Cause  error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s (sent %t, silent %t): %v", e.Address, e.Sent, e.Silent, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
