package engine

import "context"

// orderCheckKey is the context key of the check of an order.
type orderCheckKey struct{}

// WithOrderCheck returns a context that carries a final check of an order. A client calls
// check as late as possible before it sends the order, and does not send it if check
// returns an error. The shorter the time between check and write, the smaller the chance
// that a pause of the process makes the check outdated.
func WithOrderCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, orderCheckKey{}, check)
}

// OrderCheck returns the check that ctx carries, or nil.
func OrderCheck(ctx context.Context) func() error {
	check, _ := ctx.Value(orderCheckKey{}).(func() error)
	return check
}
