package placer

import (
	"context"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/layers"
)

// Engines queries replicas and sends them orders.
type Engines interface {
	// State returns the state of the replica at the address.
	State(ctx context.Context, address string) (State, error)
	// Place orders a replica to hold the range, on condition that it has begun as many orders as
	// sequence says. The order may be carried out even if Place returns an error.
	Place(ctx context.Context, replica layers.Replica, held config.LayerRange, sequence uint64) error
}

// State is the state that a replica reports.
type State struct {
	// Born is the start of the incarnation that answered; see incarnation.BornMissing.
	Born int64
	// Busy says that the replica is carrying out an order.
	Busy bool
	// Sequence is the number of orders that the replica has begun since its start.
	Sequence uint64
	Held     config.LayerRange
}
