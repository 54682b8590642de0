package watch

import (
	"context"

	"geraniumcroft/internal/engine"
)

// Engines is what the watcher asks engines.
type Engines interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
	CacheEvents(ctx context.Context, address string, after uint64) (engine.CacheEvents, error)
}
