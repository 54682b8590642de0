package watch

import (
	"context"

	"geraniumcroft/internal/engine"
)

// Services is the client that the watcher uses to read plain services.
type Services interface {
	// Load reads the load report of the replica at the address.
	Load(ctx context.Context, address string) (engine.LoadReport, error)
}
