package platform

import "context"

// WriteReserver is implemented by tables that keep a rate budget. A writer that groups
// its writes takes its turn first and forms the group then, so that everything that
// came while it waited goes in one transaction.
type WriteReserver interface {
	// ReserveWrite waits for one write of the context's lane. The context that it returns
	// has that write paid, once.
	ReserveWrite(ctx context.Context) (context.Context, error)
}
