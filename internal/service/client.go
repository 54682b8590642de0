package service

import (
	"context"

	"geraniumcroft/internal/engine"
)

// Client sends calls to instances of plain services. It is safe for concurrent use.
type Client interface {
	// Connect returns a connection to the instance without sending a byte of the call,
	// so a failure proves that the call did not run. Unless fresh is set, it may return
	// a connection that has carried earlier calls.
	Connect(ctx context.Context, address string, fresh bool) (Conn, error)
	// Load returns the instance's load report.
	Load(ctx context.Context, address string) (engine.LoadReport, error)
}
