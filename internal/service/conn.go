package service

import "context"

// Conn is an open connection for one call.
type Conn interface {
	// Do sends the call and reads the complete response. It never sends a call twice.
	// The error is a *CallError.
	Do(ctx context.Context, call Call) (Response, error)
	// Release returns a connection that was not used. After Do it has no effect.
	Release()
}
