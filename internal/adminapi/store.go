package adminapi

import (
	"context"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// Store is the history of the configuration; confstore.Store implements it.
type Store interface {
	config.Source
	Propose(ctx context.Context, p confstore.Proposal) (config.Change, error)
	Lookup(ctx context.Context, id string) (config.Change, error)
	History(ctx context.Context, after uint64, limit int) ([]config.Change, error)
	// Poll catches up with the table.
	Poll(ctx context.Context) error
	Wait(ctx context.Context, version uint64, confirmer confstore.Confirmer) confstore.Acceptance
}
