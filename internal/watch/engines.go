package watch

import (
	"context"

	"geraniumcroft/internal/engine"
)

// Engines is the client that the watcher uses to read engines.
type Engines interface {
	// Load reads the load report of the engine at the address.
	Load(ctx context.Context, address string) (engine.LoadReport, error)
	// CacheEvents reads the cache events after an event number.
	CacheEvents(ctx context.Context, address string, after uint64) (engine.CacheEvents, error)
}
