package service

import "context"

// Conn is a connection that is ready to carry one call.
type Conn interface {
	// Do sends the call and reads the whole response. It never sends a call twice.
	// The error is a *CallError.
	Do(ctx context.Context, call Call) (Response, error)
	// Release gives the connection back unused.
	Release()
}
