package adminapi

import (
	"context"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// Store is the configuration and its history. confstore.Store implements it.
type Store interface {
	config.Source
	Propose(ctx context.Context, p confstore.Proposal) (config.Change, error)
	Lookup(ctx context.Context, id string) (config.Change, error)
	History(ctx context.Context, after uint64, limit int) ([]config.Change, error)
	// Poll applies the changes that are in the table but not yet in force on this VM.
	Poll(ctx context.Context) error
	Wait(ctx context.Context, version uint64, confirmer confstore.Confirmer) confstore.Acceptance
}
