package engine

import "context"

// Client opens streams to engines, reads their state and sends them orders. It is safe
// for concurrent use. Addresses are IP:port.
type Client interface {
	// Open starts one stage of a generation and returns once the engine has accepted
	// it. The error is an *OpenError.
	Open(ctx context.Context, address string, open StageOpen) (Stream, error)
	// Cancel ends the stage of a generation that has the given epoch or an older one.
	Cancel(ctx context.Context, address, requestID string, epoch uint32) error
	// Load returns the engine's load report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// CacheEvents returns the events with a sequence number above after.
	CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error)
	// State returns what the engine holds now.
	State(ctx context.Context, address string) (State, error)
	// Order orders the engine to hold what the order describes. The error is an
	// *OrderError.
	Order(ctx context.Context, address string, order Order) error
}
