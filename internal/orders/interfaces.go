package orders

import (
	"context"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/lease"
)

// Duty is the lease under which orders are given.
const Duty = "orders"

// Leases tells whether this VM holds a duty. *lease.Manager is one.
type Leases interface {
	Held(duty string) (lease.Lease, bool)
}

// Engines is the part of engine.Client that orders need.
type Engines interface {
	State(ctx context.Context, address string) (engine.State, error)
	Order(ctx context.Context, address string, order engine.Order) error
}

// Drainer keeps new work away from a target while it is reloaded. Its state must
// outlive this VM, for the next holder has to find and end what this one began.
type Drainer interface {
	// Drain asks every VM to give the target no new work. It may be repeated.
	Drain(ctx context.Context, target string) error
	// Drained reports whether every VM that may serve has confirmed that it gives
	// the target no new work.
	Drained(ctx context.Context, target string) (bool, error)
	// Resume ends what Drain began; an operator's drain stays.
	Resume(ctx context.Context, target string) error
	// Draining lists the targets under Drain, whichever holder asked for it.
	Draining(ctx context.Context) ([]string, error)
}
