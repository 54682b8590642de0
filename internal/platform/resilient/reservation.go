package resilient

import (
	"context"
	"sync/atomic"

	"geraniumcroft/internal/platform"
)

var _ platform.WriteReserver = (*Client)(nil)

type turnKey struct{}

// turn is a write that was taken from the budget before it was sent.
type turn struct{ spent atomic.Bool }

// ReserveWrite implements platform.WriteReserver. It fails at once while the table is down.
func (c *Client) ReserveWrite(ctx context.Context) (context.Context, error) {
	if err := c.spend(ctx, c.writes, c.table, "turn"); err != nil {
		return ctx, err
	}
	return context.WithValue(ctx, turnKey{}, &turn{}), nil
}

// takeTurn reports whether the context has a write paid that is not yet spent.
func takeTurn(ctx context.Context) bool {
	paid, ok := ctx.Value(turnKey{}).(*turn)
	return ok && paid.spent.CompareAndSwap(false, true)
}
