package engine

import "context"

// Client opens streams to engines and asks them for their state. It is safe for
// concurrent use. Addresses are IP:port.
type Client interface {
	// Open starts one stage of a generation and returns once the engine has taken
	// it. The error is an *OpenError.
	Open(ctx context.Context, address string, open StageOpen) (Stream, error)
	// Cancel ends a stage of a generation at an epoch or an older one.
	Cancel(ctx context.Context, address, requestID string, epoch uint32) error
	// Load returns the engine's load report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// CacheEvents returns events with a sequence number above after.
	CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error)
	// State reads back what the engine holds.
	State(ctx context.Context, address string) (State, error)
	// Order asks the engine to hold what the order says. The error is an *OrderError.
	Order(ctx context.Context, address string, order Order) error
}
