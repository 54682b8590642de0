package orders

import (
	"context"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/lease"
)

// Duty is the name of the lease under which orders are sent.
const Duty = "orders"

// Leases reports whether this VM holds the lease of a duty. *lease.Manager implements it.
type Leases interface {
	Held(duty string) (lease.Lease, bool)
}

// Engines is the part of engine.Client that a Controller uses.
type Engines interface {
	State(ctx context.Context, address string) (engine.State, error)
	Order(ctx context.Context, address string, order engine.Order) error
}

// Drainer stops new requests to a target while it is reloaded. Its state must outlive this VM,
// because the next holder has to find and end the drains that this one began.
type Drainer interface {
	// Drain asks every VM to send the target no new requests. It is idempotent.
	Drain(ctx context.Context, target string) error
	// Drained reports whether every VM that may serve has confirmed that it sends the target no
	// new requests.
	Drained(ctx context.Context, target string) (bool, error)
	// Resume ends a drain that Drain began. A drain by an operator stays.
	Resume(ctx context.Context, target string) error
	// Draining lists the targets that Drain was called for, by any holder.
	Draining(ctx context.Context) ([]string, error)
}
