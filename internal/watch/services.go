package watch

import (
	"context"

	"geraniumcroft/internal/engine"
)

// Services is what the watcher asks plain services.
type Services interface {
	Load(ctx context.Context, address string) (engine.LoadReport, error)
}
