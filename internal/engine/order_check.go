package engine

import "context"

type gateKey struct{}

// WithOrderCheck returns a context that carries a last check of an order. A client calls
// it at the latest moment that it can still hold the order back: the nearer the
// check is to the write, the less a pause between the two can do.
func WithOrderCheck(ctx context.Context, gate func() error) context.Context {
	return context.WithValue(ctx, gateKey{}, gate)
}

// OrderCheck returns the check that ctx carries, or nil.
func OrderCheck(ctx context.Context) func() error {
	gate, _ := ctx.Value(gateKey{}).(func() error)
	return gate
}
