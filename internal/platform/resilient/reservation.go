package resilient

import (
	"context"
	"sync/atomic"

	"geraniumcroft/internal/platform"
)

var _ platform.WriteReserver = (*Client)(nil)

type reservationKey struct{}

// reservation is a write whose budget was consumed before it is sent.
type reservation struct{ used atomic.Bool }

// ReserveWrite implements platform.WriteReserver. It fails immediately while the circuit
// of the table is open.
func (c *Client) ReserveWrite(ctx context.Context) (context.Context, error) {
	if err := c.acquire(ctx, c.writes, c.table, "turn"); err != nil {
		return ctx, err
	}
	return context.WithValue(ctx, reservationKey{}, &reservation{}), nil
}

// useReservation reports whether the context has an unused reservation, and marks it used.
func useReservation(ctx context.Context) bool {
	r, ok := ctx.Value(reservationKey{}).(*reservation)
	return ok && r.used.CompareAndSwap(false, true)
}
