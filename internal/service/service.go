// Package service is the system's view of plain services: targets that answer
// one call with one response.
package service

import (
	"context"
	"net/http"

	"geraniumcroft/internal/engine"
)

// Client sends calls to instances of plain services. It is safe for concurrent use.
type Client interface {
	// Connect opens or takes a connection to the instance without sending a byte
	// of the call, so a failure here proves that the call did not run.
	Connect(ctx context.Context, address string, fresh bool) (Conn, error)
	// Load returns the instance's load report.
	Load(ctx context.Context, address string) (engine.LoadReport, error)
}

// Conn is a connection that is ready to carry one call.
type Conn interface {
	// Do sends the call and reads the whole response. It never sends a call twice.
	// The error is a *CallError.
	Do(ctx context.Context, call Call) (Response, error)
	// Discard gives the connection back unused.
	Discard()
}

// Call is one call of a plain service.
type Call struct {
	RequestID string
	Path      string
	Body      []byte
	// ContentType of the body.
	ContentType string
	// Idempotent calls may be repeated by the router.
	Idempotent bool
	// IdempotencyKey is the caller's, passed on; may be empty.
	IdempotencyKey string
}

// Response is a service's whole answer.
type Response struct {
	// RequestID is the id that the service answered for; it must be the call's.
	RequestID string
	Status    int
	Header    http.Header
	Body      []byte
	// NotRun says that the service declares that it did not run the call.
	NotRun bool
}
